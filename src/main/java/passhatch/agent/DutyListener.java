package passhatch.agent;

/** Listener for a part of this process that is active only while the process holds a duty. */
interface DutyListener {

    /**
     * Called when this process has acquired the duty.
     *
     * @param term term of the duty, which is its fencing token
     */
    void dutyGranted(long term);

    /** Called when this process no longer holds the duty. */
    void dutyLost(long term);
}
