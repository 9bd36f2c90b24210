package passhatch.agent;

/** A part of this process that acts while the process holds a duty. */
interface DutyListener {

    /**
     * Called when this process has acquired the duty.
     *
     * @param term the fencing token
     */
    void dutyGranted(long term);

    /** Called when this process no longer holds the duty. */
    void dutyLost(long term);
}
