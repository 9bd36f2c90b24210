package passhatch;

/**
 * Latencies of requests to this tier, measured from their responses. Latencies differ widely between classes,
 * so all values except those that are returned for one class are for a usual request: each sample is divided
 * by the relative latency of its class. Without this, a server that answers a few long requests would look
 * too slow for short requests. It would then get no short requests, so only long requests would be left to
 * measure the server's latency.
 */
final class LatencyStats {

    /** Weight of the newest value in a running mean. */
    static final double MEAN_WEIGHT = 0.1;
    /** Fraction of requests whose latency is below the quick latency. */
    private static final double QUICK_QUANTILE = 0.3;
    /**
     * Cap on the mean latency per request in flight, as a multiple of the quick latency per request in
     * flight.
     */
    private static final double MAX_MEAN_TO_QUICK_RATIO = 2;
    /** Size of a step of the running estimate of the quick latency, relative to the estimate. */
    private static final double QUICK_ESTIMATE_STEP = 0.05;
    /**
     * Relative growth of the baseline latency at each sample, as a minimum that was measured thousands of
     * requests ago may be outdated.
     */
    private static final double BASELINE_GROWTH = 0.0003;

    /**
     * Number of samples needed before the mean latency is used as a baseline: the first responses to arrive
     * are the quickest.
     */
    private static final int MIN_SAMPLES = 20;

    /** Mean latency of served requests, by class index; 0 for a class of which no request was served yet. */
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
     * Returns the latency of a class as a multiple of the usual latency, which is the mean over all classes.
     */
    double relativeLatency(int requestClass) {
        if (classLatencyUs[requestClass] == 0) {
            return 1;
        }
        double sumUs = 0;
        int measured = 0;
        for (double latencyUs : classLatencyUs) {
            sumUs += latencyUs;
            measured += latencyUs > 0 ? 1 : 0;
        }
        return classLatencyUs[requestClass] * measured / sumUs;
    }

    /**
     * Adds the latency of an attempt. For the values per request in flight, the latency is divided by the
     * server's load when the attempt was sent.
     */
    void addSample(Attempt attempt, boolean served, long elapsedUs) {
        int requestClass = attempt.request.original.requestClass();
        if (served) {
            classLatencyUs[requestClass] += (elapsedUs - classLatencyUs[requestClass])
                    * (classLatencyUs[requestClass] == 0 ? 1 : MEAN_WEIGHT);
        }
        double usualUs = elapsedUs / relativeLatency(requestClass);
        latencySumUs += usualUs - latencySumUs * MEAN_WEIGHT / 2;
        loadSum += attempt.loadAtSend - loadSum * MEAN_WEIGHT / 2;
        samples++;
        meanLatencyUs += (usualUs - meanLatencyUs) * Math.max(1.0 / samples, MEAN_WEIGHT);
        if (samples >= MIN_SAMPLES) {
            baselineLatencyUs = Math.min(baselineLatencyUs * (1 + BASELINE_GROWTH), meanLatencyUs);
        }
        double unitUs = usualUs / attempt.loadAtSend;
        quickUnitLatencyUs = quickUnitLatencyUs == 0 ? unitUs : quickUnitLatencyUs
                * (1 + QUICK_ESTIMATE_STEP
                * (unitUs < quickUnitLatencyUs ? QUICK_QUANTILE - 1 : QUICK_QUANTILE));
        // The mean is capped so that a few servers that take seconds do not count as usual.
        unitLatencyUs = Math.min(latencySumUs / loadSum, MAX_MEAN_TO_QUICK_RATIO * quickUnitLatencyUs);
        ServerState server = attempt.server;
        server.latencySumUs += usualUs - server.latencySumUs * MEAN_WEIGHT;
        server.loadSum += attempt.loadAtSend - server.loadSum * MEAN_WEIGHT;
    }

    /**
     * Returns whether there are enough samples to know the baseline, which is the latency without congestion.
     */
    boolean hasBaseline() {
        return samples >= MIN_SAMPLES;
    }

    /** Returns the mean latency per request in flight at a server, over all servers; 0 while unknown. */
    double unitLatencyUs() {
        return unitLatencyUs;
    }

    /**
     * Returns the quick latency per request in flight: the fraction {@link #QUICK_QUANTILE} of the requests
     * is quicker.
     */
    double quickUnitLatencyUs() {
        return quickUnitLatencyUs;
    }

    /**
     * Lowers the estimate of the quick latency by as much as a response slower than the estimate raises it.
     */
    void lowerQuickEstimate() {
        quickUnitLatencyUs *= 1 - QUICK_ESTIMATE_STEP * QUICK_QUANTILE;
    }

    /** Returns the running mean of the latency of all requests. */
    double meanLatencyUs() {
        return meanLatencyUs;
    }

    /**
     * Returns the baseline latency, which is the recent minimum of the mean latency and stands for the
     * latency without congestion; {@link Double#MAX_VALUE} while unknown.
     */
    double baselineLatencyUs() {
        return baselineLatencyUs;
    }

    /** Returns the latency of a class at servers without congestion; 0 while unknown. */
    double classBaselineUs(int requestClass) {
        return !hasBaseline() ? 0 : baselineLatencyUs * relativeLatency(requestClass);
    }
}
