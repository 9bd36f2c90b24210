package passhatch;

import passhatch.Balancer.Outcome;

/** Failure rates over all servers, so that no server is blamed for failures that all of them share. */
final class FailureRates {

    /** Weight of the newest outcome in the rate of failed connections. */
    private static final double CONNECT_FAILURE_WEIGHT = 0.2;
    /** Weight of the newest outcome in the rates of errors and of resets. */
    private static final double RESPONSE_WEIGHT = 0.04;
    /**
     * Rate of failed connections above which connections are considered to fail at present. One failure keeps
     * the rate above this value for ten outcomes.
     */
    private static final double MAX_CONNECT_FAILURE_RATE = 0.02;
    /**
     * Failures in a row at one server are significant if their probability is below this value, assuming that
     * all servers fail at the same rate.
     */
    private static final double MAX_CHANCE_PROBABILITY = 0.001;
    /**
     * Cap on the reset rate in {@link #significantFailures}: with this cap, ten failures in a row are always
     * significant.
     */
    private static final double MAX_RESET_RATE = 0.5;

    private double errorRate;
    private double resetRate;
    private double connectFailureRate;

    /** Updates the rates with the outcome of an attempt, or of a probe that could not connect. */
    void recordOutcome(Outcome outcome) {
        boolean answered = outcome == Outcome.OK || outcome == Outcome.ERROR;
        if (answered) {
            errorRate += RESPONSE_WEIGHT * ((outcome == Outcome.ERROR ? 1 : 0) - errorRate);
        }
        if (answered || outcome == Outcome.RESET) {
            resetRate += RESPONSE_WEIGHT * ((outcome == Outcome.RESET ? 1 : 0) - resetRate);
        }
        connectFailureRate +=
                CONNECT_FAILURE_WEIGHT * ((outcome == Outcome.CONNECT_FAILED ? 1 : 0) - connectFailureRate);
    }

    /** Returns the rate of errors among the latest responses, 0 to 1. */
    double errorRate() {
        return errorRate;
    }

    /** Returns whether attempts to connect fail at present, or failed a moment ago. */
    boolean connectionsFail() {
        return connectFailureRate > MAX_CONNECT_FAILURE_RATE;
    }

    /**
     * Returns how many failures in a row show that a server itself fails. The more connections break at all
     * servers, the more often several connections in a row break at one server by chance.
     *
     * @param minFailures the minimum result, returned while connections seldom break
     */
    int significantFailures(int minFailures) {
        if (resetRate < MAX_CHANCE_PROBABILITY) {
            return minFailures;
        }
        double failuresInARow =
                Math.log(MAX_CHANCE_PROBABILITY) / Math.log(Math.min(resetRate, MAX_RESET_RATE));
        return Math.max(minFailures, (int) Math.ceil(failuresInARow));
    }
}
