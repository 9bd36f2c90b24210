package passhatch;

/**
 * Decides whether the load reports of servers are used. If servers that just reported themselves as idle
 * reject requests as full or leave them unanswered, the reports are out of date: they would lead the requests
 * of all copies to servers that were idle a while ago. For some time after that, this copy judges the load of
 * servers by its own requests in flight only.
 */
final class ReportTrust {

    /**
     * Maximum number of times that the length of a pause in the use of reports is doubled. Each further pause
     * doubles it once.
     */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final long initialPauseUs;
    private final double weight;
    private final double maxRefutedRate;
    /** Running mean of the fraction of reports that outcomes refuted. */
    private double refutedRate;
    private long distrustUntilUs = Long.MIN_VALUE;
    private int distrustPeriods;

    /**
     * Creates an instance that allows the use of reports until too many of them are refuted.
     *
     * @param initialPauseUs length of the first pause, in which reports are not used
     * @param weight weight of the newest report in the running mean
     * @param maxRefutedRate the fraction of refuted reports above which reports are not used
     */
    ReportTrust(long initialPauseUs, double weight, double maxRefutedRate) {
        this.initialPauseUs = initialPauseUs;
        this.weight = weight;
        this.maxRefutedRate = maxRefutedRate;
    }

    /**
     * Records a report that a server was idle, and whether the outcome of an attempt at that server refuted
     * the report.
     */
    void recordReport(long nowUs, boolean refuted) {
        refutedRate += weight * ((refuted ? 1 : 0) - refutedRate);
        if (refutedRate > maxRefutedRate) {
            distrustUntilUs = nowUs + (initialPauseUs << Math.min(distrustPeriods++, MAX_BACKOFF_DOUBLINGS));
            refutedRate = 0;
        }
    }

    boolean reportsTrusted(long nowUs) {
        return distrustUntilUs <= nowUs;
    }
}
