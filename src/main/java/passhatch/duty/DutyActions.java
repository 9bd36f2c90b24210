package passhatch.duty;

/** Actions that a {@link Candidate} requests from the code that runs it. */
public interface DutyActions {

    /** Sends a message to a voter or another candidate. The message may get lost. */
    void send(String to, DutyMessage message);

    /**
     * Reports that this process has acquired the duty in a term. The process may act as the holder
     * as long as {@link Candidate#mayAct} returns true.
     */
    void dutyAcquired(long term);

    /** Reports that this process no longer holds the duty that it had acquired in a term. */
    void dutyLost(long term);
}
