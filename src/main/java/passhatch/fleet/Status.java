package passhatch.fleet;

/**
 * What is said of a member. Of two statements about one incarnation the later in this order holds;
 * to overrule it, the member itself has to come with a newer incarnation.
 */
public enum Status {
    /** It is present. */
    ALIVE,
    /** It did not answer somebody; it is still counted as present, and may refute that. */
    SUSPECT,
    /** Nobody heard its refutation in time. */
    FAILED,
    /** It said that it goes. */
    LEFT;

    /** Whether such a member is counted as present. */
    public boolean present() {
        return this == ALIVE || this == SUSPECT;
    }
}
