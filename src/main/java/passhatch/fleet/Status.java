package passhatch.fleet;

/**
 * The status of a member. If two updates about the same incarnation of a member differ, the status
 * that is declared later in this enum is valid. Only an update about a newer incarnation overrides
 * it.
 */
public enum Status {
    /** The member is present. */
    ALIVE,
    /**
     * The member did not answer another member. It still counts as present and may refute the
     * suspicion.
     */
    SUSPECT,
    /** The member did not refute the suspicion in time. */
    FAILED,
    /** The member announced that it leaves. */
    LEFT;

    /** Returns whether a member with this status counts as present. */
    public boolean present() {
        return this == ALIVE || this == SUSPECT;
    }
}
