package passhatch.duty;

/**
 * A message between candidates and voters.
 *
 * @param epoch epoch of the sender's configuration
 * @param term term that is requested, granted or released; in a refusal, the maximum term that the
 *     voter has promised
 * @param round number of the request; the reply has the same number
 * @param holder name and incarnation of the candidate that the message is about
 * @param waitUs in a refusal, the remaining time of the lease because of which the voter refuses,
 *     in microseconds; 0 if the voter refuses for another reason
 */
public record DutyMessage(
        Kind kind, long epoch, String duty, long term, int round, String holder, long waitUs) {

    /** Kinds of messages. */
    public enum Kind {
        /** Candidate to voter: requests the duty in this term, or renews it. */
        REQUEST,
        /** Voter to candidate: grants the request. */
        GRANT,
        /** Voter to candidate: refuses the request. */
        REFUSAL,
        /** Candidate to voter: the candidate will not act in this term any more. */
        RELEASE,
        /**
         * Holder to another candidate: the holder gives the duty up, and the candidate should
         * request it at once.
         */
        TAKE,
        /**
         * From a voter that does not know all of its earlier promises, to the other voters:
         * requests the maximum term that each of them has promised.
         */
        RECALL,
        /**
         * Voter to voter, the reply to a {@link #RECALL}: reports the maximum term that the sender
         * has promised for any duty.
         */
        TERMS
    }

    DutyMessage createReply(Kind replyKind, long replyTerm, long replyWaitUs) {
        return new DutyMessage(replyKind, epoch, duty, replyTerm, round, holder, replyWaitUs);
    }
}
