package passhatch.duty;

/**
 * A record that a voter writes to disk when it grants a term of a duty to a holder. A voter that
 * has lost promises must not vote.
 *
 * @param term 1 or more; higher than all terms of this duty that the voter has granted before
 * @param holder name and incarnation of the process to which the term is granted
 */
public record Promise(String duty, long term, String holder) {

    /**
     * Returns the record that marks a voter as voting. A voter without this record on its disk may
     * have lost promises.
     *
     * @param maxForgottenTerm maximum term, over all duties, in the promises that the voter may
     *     have lost; 0 if it has lost none
     */
    public static Promise votingMarker(long maxForgottenTerm) {
        return new Promise("", maxForgottenTerm, "");
    }

    boolean isVotingMarker() {
        return duty.isEmpty();
    }
}
