package passhatch.duty;

/**
 * What a voter must never forget: that it has granted a term of a duty, and to whom.
 *
 * @param term 1 or more; greater than any that the voter has granted of this duty before
 */
public record Promise(String duty, long term, String holder) {

    /**
     * That a voter votes, which is itself on its disk: without it the voter may have forgotten
     * promises.
     *
     * @param floor terms up to this may have been granted by the voter, of any duty; 0 or more
     */
    public static Promise votingMarker(long floor) {
        return new Promise("", floor, "");
    }

    boolean isVotingMarker() {
        return duty.isEmpty();
    }
}
