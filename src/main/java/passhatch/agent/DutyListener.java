package passhatch.agent;

/**
 * Notifies a part of this process when the process acquires or loses a duty. The part is active
 * only while the process holds the duty.
 */
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
