package passhatch.duty;

/**
 * A record that a voter must not lose: it has granted a term of a duty to a holder.
 *
 * @param term 1 or more; above all terms that the voter has granted of this duty before
 */
public record Promise(String duty, long term, String holder) {

    /**
     * Returns the record which states that a voter votes. Without it on its disk the voter may have
     * lost promises.
     *
     * @param maxForgottenTerm the voter may have granted terms up to this, of any duty; 0 or more
     */
    public static Promise votingMarker(long maxForgottenTerm) {
        return new Promise("", maxForgottenTerm, "");
    }

    boolean isVotingMarker() {
        return duty.isEmpty();
    }
}
