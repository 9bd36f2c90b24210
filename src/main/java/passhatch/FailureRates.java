package passhatch;

import passhatch.Balancer.Outcome;

/**
 * How often calls go wrong at all servers together, so that one is not judged by what all of them
 * do.
 */
final class FailureRates {

    /** Weight of the newest outcome in what failed connections are of all. */
    private static final double CONNECT_FAILURE_WEIGHT = 0.2;

    /** Weight of the newest outcome in the shares of errors and of breaks. */
    private static final double RATE_WEIGHT = 0.04;

    /**
     * Share of failed connections above which connected servers come first: one failure counts for
     * ten.
     */
    private static final double MAX_CONNECT_FAILURE_RATE = 0.02;

    /**
     * Failures in a row that come about less often than this where all servers fail alike are no
     * chance.
     */
    private static final double CHANCE_PROBABILITY = 0.001;

    /** A share of breaks above this counts as this: ten failures in a row always tell. */
    private static final double MAX_RESET_RATE = 0.5;

    private double errorRate;
    private double resetRate;
    private double connectFailureRate;

    /** What a call has ended with. */
    void update(Outcome outcome) {
        boolean answered = outcome == Outcome.OK || outcome == Outcome.ERROR;
        if (answered) {
            errorRate += RATE_WEIGHT * ((outcome == Outcome.ERROR ? 1 : 0) - errorRate);
        }
        if (answered || outcome == Outcome.RESET) {
            resetRate += RATE_WEIGHT * ((outcome == Outcome.RESET ? 1 : 0) - resetRate);
        }
        connectFailureRate +=
                CONNECT_FAILURE_WEIGHT
                        * ((outcome == Outcome.CONNECT_FAILED ? 1 : 0) - connectFailureRate);
    }

    /** The share of errors among all latest answers. */
    double errorRate() {
        return errorRate;
    }

    /** Whether connections fail, or just did. */
    boolean connectionsFail() {
        return connectFailureRate > MAX_CONNECT_FAILURE_RATE;
    }

    /**
     * How many failures in a row tell that it is the server: the more connections break at all of
     * them, the more often some do in a row at each by chance.
     *
     * @param least where they break seldom
     */
    int significantFailures(int least) {
        if (resetRate < CHANCE_PROBABILITY) {
            return least;
        }
        double inARow =
                Math.log(CHANCE_PROBABILITY) / Math.log(Math.min(resetRate, MAX_RESET_RATE));
        return Math.max(least, (int) Math.ceil(inARow));
    }
}
