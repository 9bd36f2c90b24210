package passhatch.duty;

/** Actions that a candidate requests from its host. */
public interface DutyActions {

    /** Sends a message to a voter or another candidate. The message may get lost. */
    void send(String to, DutyMessage message);

    /**
     * Reports that this process has acquired the duty in a term. The process may act on it as long
     * as {@link Candidate#mayAct} returns true.
     */
    void dutyAcquired(long term);

    /** Reports that this process no longer holds the duty in a term. */
    void dutyLost(long term);
}
