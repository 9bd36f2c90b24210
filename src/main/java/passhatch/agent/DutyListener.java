package passhatch.agent;

/** A part of this process that acts while it has a duty. */
interface DutyListener {

    /**
     * The duty is this process's.
     *
     * @param term the fencing token
     */
    void granted(long term);

    /** The duty is this process's no more. */
    void lost(long term);
}
