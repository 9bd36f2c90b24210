package passhatch.duty;

/**
 * A message between candidates and voters.
 *
 * @param epoch of the sender's configuration
 * @param term requested, granted or released; in a refusal the maximum that the voter has promised
 * @param round of the request; a reply repeats it
 * @param holder the candidate and its incarnation that the message is about
 * @param waitUs in a refusal, how long the voter is still bound to another holder, in microseconds
 */
public record DutyMessage(
        Kind kind, long epoch, String duty, long term, int round, String holder, long waitUs) {

    /** Kinds of messages. */
    public enum Kind {
        /** Candidate to voter: requests the duty in this term, or renews it. */
        REQUEST,
        /** Voter to candidate: granted. */
        GRANT,
        /** Voter to candidate: not granted. */
        REFUSAL,
        /** Candidate to voter: does not act in this term, now or later. */
        RELEASE,
        /**
         * Holder to another candidate: the duty is given up, and the candidate should request it at
         * once.
         */
        TAKE,
        /** Voter without its promises to the others: requests the terms that were granted. */
        RECALL,
        /**
         * Voter to a voter without its promises: the maximum term that it has promised of any duty.
         */
        TERMS
    }

    DutyMessage createReply(Kind replyKind, long replyTerm, long replyWaitUs) {
        return new DutyMessage(replyKind, epoch, duty, replyTerm, round, holder, replyWaitUs);
    }
}
