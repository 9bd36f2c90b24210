package passhatch;

/**
 * Decides whether servers' load reports are used. Where servers that just reported themselves idle reject
 * requests as full or leave them unanswered, reports are out of date: if used, they would send the requests
 * of all copies to servers that were idle a while ago. So for some time this copy uses its own requests in
 * flight only.
 */
final class ReportTrust {

    /** How often the time without reports is doubled at most, once at each further loss of trust. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private final long initialPauseUs;
    private final double weight;
    private final double maxRefutedRate;
    /** Running mean of the fraction of reports that outcomes refuted. */
    private double refutedRate;
    private long distrustUntilUs = Long.MIN_VALUE;
    private int distrustPeriods;

    /**
     * Creates an instance that trusts reports until enough of them are refuted.
     *
     * @param initialPauseUs for how long reports are not used the first time
     * @param weight of the newest report in the running mean
     * @param maxRefutedRate the fraction of refuted reports above which reports are not used
     */
    ReportTrust(long initialPauseUs, double weight, double maxRefutedRate) {
        this.initialPauseUs = initialPauseUs;
        this.weight = weight;
        this.maxRefutedRate = maxRefutedRate;
    }

    /** Records whether an outcome refuted a report that the server was idle. */
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
