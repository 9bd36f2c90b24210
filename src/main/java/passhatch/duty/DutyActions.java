package passhatch.duty;

/** Actions that a candidate requests from its host. */
public interface DutyActions {

    /** Sends a message to a voter or another candidate; it may get lost. */
    void send(String to, DutyMessage message);

    /**
     * Reports that this process holds the duty, for as long as {@link Candidate#mayAct} returns
     * true.
     */
    void dutyAcquired(long term);

    /** Reports that this process no longer holds the duty. */
    void dutyLost(long term);
}
