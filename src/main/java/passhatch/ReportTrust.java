package passhatch;

/**
 * Whether servers' reports of their load are believed. Where servers that had just called themselves idle
 * turn calls away as full or leave them unanswered, reports are old: believed, they send the calls of all
 * copies to those that were idle a while ago. So for a time this copy goes by its own calls alone.
 */
final class ReportTrust {

    /** The time is doubled at each further loss of trust, so many times at most. */
    private static final int MOST_DOUBLINGS = 4;

    private final long pauseUs;
    private final double weight;
    private final double most;
    /** Share of reports that calls refuted. */
    private double doubt;
    private long doubtUntilUs = Long.MIN_VALUE;
    private int doubts;

    /**
     * All reports are believed at first.
     *
     * @param pauseUs for how long none is believed the first time
     * @param weight of the newest report
     * @param most the share of refuted reports above which none is believed
     */
    ReportTrust(long pauseUs, double weight, double most) {
        this.pauseUs = pauseUs;
        this.weight = weight;
        this.most = most;
    }

    /** A call has shown whether a report of idleness was true. */
    void judge(long nowUs, boolean refuted) {
        doubt += weight * ((refuted ? 1 : 0) - doubt);
        if (doubt > most) {
            doubtUntilUs = nowUs + (pauseUs << Math.min(doubts++, MOST_DOUBLINGS));
            doubt = 0;
        }
    }

    boolean believed(long nowUs) {
        return doubtUntilUs <= nowUs;
    }
}
