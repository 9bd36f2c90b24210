package passhatch;

/**
 * What calls to this tier take, as far as their answers tell. Classes differ manyfold, so all
 * figures but {@link #relativeLatency} are for a usual call: a time counts by the part that is
 * longer or shorter than its class's. Were they mixed, a server that answers a few long calls would
 * look too slow for short ones; and once these are held back, only long ones are left to judge it
 * by.
 */
final class LatencyStats {

    /** Weight of the newest value in a running mean. */
    static final double MEAN_WEIGHT = 0.1;

    /** Part of the calls that are quick. */
    private static final double QUICK_QUANTILE = 0.3;

    /** What is usual is at most this multiple of what is quick. */
    private static final double MAX_MEAN_TO_QUICK_RATIO = 2;

    /** Step of the running estimate of what is quick. */
    private static final double QUICK_STEP = 0.05;

    /**
     * Part by which the calm time grows at each answer: what was calm thousands of calls ago may
     * not be.
     */
    private static final double BASELINE_GROWTH = 0.0003;

    /** Answers before a mean is trusted to be one: the first to come back are the quickest. */
    private static final int MIN_SAMPLES = 20;

    /** Mean time that served calls of each class took, by position; 0 while there was none. */
    private final double[] classLatencyUs;

    private double unitLatencyUs;
    private double quickUnitLatencyUs;
    private double latencySumUs;
    private double loadSum;
    private double meanLatencyUs;
    private double baselineLatencyUs = Double.MAX_VALUE;
    private int samples;

    LatencyStats(int classes) {
        classLatencyUs = new double[classes];
    }

    /**
     * How many times as long as a usual call one of this class takes; the mean of all classes is
     * usual.
     */
    double relativeLatency(int kind) {
        if (classLatencyUs[kind] == 0) {
            return 1;
        }
        double sumUs = 0;
        int seen = 0;
        for (double us : classLatencyUs) {
            sumUs += us;
            seen += us > 0 ? 1 : 0;
        }
        return classLatencyUs[kind] * seen / sumUs;
    }

    /** Learns from a call that has ended, with so many calls ahead of it, itself included. */
    void add(Attempt attempt, boolean served, long elapsedUs) {
        int kind = attempt.request.original.requestClass();
        if (served) {
            classLatencyUs[kind] +=
                    (elapsedUs - classLatencyUs[kind])
                            * (classLatencyUs[kind] == 0 ? 1 : MEAN_WEIGHT);
        }
        double usualUs = elapsedUs / relativeLatency(kind);
        latencySumUs += usualUs - latencySumUs * MEAN_WEIGHT / 2;
        loadSum += attempt.loadAtSend - loadSum * MEAN_WEIGHT / 2;
        samples++;
        meanLatencyUs += (usualUs - meanLatencyUs) * Math.max(1.0 / samples, MEAN_WEIGHT);
        if (samples >= MIN_SAMPLES) {
            baselineLatencyUs = Math.min(baselineLatencyUs * (1 + BASELINE_GROWTH), meanLatencyUs);
        }
        double each = usualUs / attempt.loadAtSend;
        quickUnitLatencyUs =
                quickUnitLatencyUs == 0
                        ? each
                        : quickUnitLatencyUs
                                * (1
                                        + QUICK_STEP
                                                * (each < quickUnitLatencyUs
                                                        ? QUICK_QUANTILE - 1
                                                        : QUICK_QUANTILE));
        // A few servers that take seconds must not pass for usual: the mean is capped.
        unitLatencyUs =
                Math.min(latencySumUs / loadSum, MAX_MEAN_TO_QUICK_RATIO * quickUnitLatencyUs);
        ServerState s = attempt.server;
        s.latencySumUs += usualUs - s.latencySumUs * MEAN_WEIGHT;
        s.loadSum += attempt.loadAtSend - s.loadSum * MEAN_WEIGHT;
    }

    /** Whether there were enough answers to tell what a call takes without a crowd. */
    boolean hasBaseline() {
        return samples >= MIN_SAMPLES;
    }

    /** Time for each call in flight at its server, over all servers; 0 while unknown. */
    double unitLatencyUs() {
        return unitLatencyUs;
    }

    /** The time for each call in flight that {@link #QUICK_QUANTILE} of the calls stay under. */
    double quickUnitLatencyUs() {
        return quickUnitLatencyUs;
    }

    /** Lowers what counts as quick, as after a quick answer. */
    void lowerQuickEstimate() {
        quickUnitLatencyUs *= 1 - QUICK_STEP * QUICK_QUANTILE;
    }

    /** Running mean of the time that calls took. */
    double meanLatencyUs() {
        return meanLatencyUs;
    }

    /**
     * The least that the mean was of late, while servers were calm; the greatest value while
     * unknown.
     */
    double baselineLatencyUs() {
        return baselineLatencyUs;
    }

    /** What a call of this class takes while servers are calm; 0 while unknown. */
    double classBaselineUs(int kind) {
        return !hasBaseline() ? 0 : baselineLatencyUs * relativeLatency(kind);
    }
}
