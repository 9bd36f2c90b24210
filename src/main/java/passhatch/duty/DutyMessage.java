package passhatch.duty;

/**
 * What candidates and voters say to each other.
 *
 * @param epoch of the configuration that the sender has
 * @param term asked for, granted, or given back; of a refusal the greatest that the voter has
 *     promised
 * @param round of the asking that is meant; an answer repeats it
 * @param holder the candidate with its life, for whom this is
 * @param waitUs of a refusal: so long, in microseconds, the voter is bound to another holder
 */
public record DutyMessage(
        Kind kind, long epoch, String duty, long term, int round, String holder, long waitUs) {

    /** What is said. */
    public enum Kind {
        /** Candidate to voter: wants the duty in this term, or to keep it. */
        REQUEST,
        /** Voter to candidate: granted. */
        GRANT,
        /** Voter to candidate: not granted. */
        REFUSAL,
        /** Candidate to voter: does not act on this term, now or later. */
        RELEASE,
        /** Holder to another candidate: it has given up, and that one should ask at once. */
        TAKE,
        /** Voter that has forgotten, to the others: which terms were granted? */
        RECALL,
        /** Voter to one that has forgotten: the greatest term that it has promised of any duty. */
        TERMS
    }

    DutyMessage reply(Kind replyKind, long answerTerm, long replyWaitUs) {
        return new DutyMessage(replyKind, epoch, duty, answerTerm, round, holder, replyWaitUs);
    }
}
