package passhatch;

/**
 * Whether servers' reports of their load are believed. Where servers that had just called themselves idle
 * turn calls away as full or leave them unanswered, reports are old: believed, they send the calls of all
 * copies to those that were idle a while ago. So for a time this copy goes by its own calls alone.
 */
final class ReportTrust {

    /** The time is doubled at each further loss of trust, so many times at most. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final long initialPauseUs;
    private final double weight;
    private final double maxRefutedRate;
    /** Share of reports that calls refuted. */
    private double refutedRate;
    private long distrustUntilUs = Long.MIN_VALUE;
    private int distrustPeriods;

    /**
     * All reports are believed at first.
     *
     * @param pauseUs for how long none is believed the first time
     * @param weight of the newest report
     * @param most the share of refuted reports above which none is believed
     */
    ReportTrust(long pauseUs, double weight, double most) {
        this.initialPauseUs = pauseUs;
        this.weight = weight;
        this.maxRefutedRate = most;
    }

    /** A call has shown whether a report of idleness was true. */
    void update(long nowUs, boolean refuted) {
        refutedRate += weight * ((refuted ? 1 : 0) - refutedRate);
        if (refutedRate > maxRefutedRate) {
            distrustUntilUs = nowUs + (initialPauseUs << Math.min(distrustPeriods++, MAX_BACKOFF_DOUBLINGS));
            refutedRate = 0;
        }
    }

    boolean trusted(long nowUs) {
        return distrustUntilUs <= nowUs;
    }
}
