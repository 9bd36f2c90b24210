package passhatch.proxy.discovery;

import java.util.SplittableRandom;

/**
 * Exponential back-off with jitter for calls to discovery. The mean delay doubles with each
 * failure. Each delay is random, as the watches of all proxies may end together and must not all be
 * started again at the same moment. A success resets the mean.
 */
final class Backoff {

    private static final long INITIAL_DELAY_MS = 50;

    private final long maxDelayMs;
    private final SplittableRandom random;
    private long meanDelayMs = INITIAL_DELAY_MS;

    /**
     * Creates a back-off that starts with the initial delay.
     *
     * @param maxDelayMs maximum delay in milliseconds; a value below 50 ms is raised to 50 ms
     */
    Backoff(long maxDelayMs, long seed) {
        this.maxDelayMs = Math.max(INITIAL_DELAY_MS, maxDelayMs);
        this.random = new SplittableRandom(seed);
    }

    /**
     * Returns the next delay in milliseconds, drawn between 0.5 and 1.5 times the current mean and
     * limited to the maximum.
     */
    long nextDelayMs() {
        long delayMs = Math.min(maxDelayMs, (long) (meanDelayMs * (0.5 + random.nextDouble())));
        meanDelayMs = Math.min(maxDelayMs, meanDelayMs * 2);
        return delayMs;
    }

    /** Resets the delay after a success. */
    void reset() {
        meanDelayMs = INITIAL_DELAY_MS;
    }
}
