package passhatch.fleet;

/**
 * The status of a member. Of two updates about one incarnation, the status later in this order
 * holds; only a newer incarnation of the member itself overrides it.
 */
public enum Status {
    /** It is present. */
    ALIVE,
    /**
     * It did not answer another member; it still counts as present and may refute the suspicion.
     */
    SUSPECT,
    /** It did not refute the suspicion in time. */
    FAILED,
    /** It announced that it leaves. */
    LEFT;

    /** Whether a member with this status counts as present. */
    public boolean present() {
        return this == ALIVE || this == SUSPECT;
    }
}
