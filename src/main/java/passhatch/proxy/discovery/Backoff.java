package passhatch.proxy.discovery;

import java.util.SplittableRandom;

/**
 * Exponential back-off with jitter for calls to discovery. The delay doubles with each failure and
 * is random, as the watches of all proxies end together and must not all return at the same moment.
 * A success resets it.
 */
final class Backoff {

    private static final long INITIAL_DELAY_MS = 50;

    private final long maxDelayMs;
    private final SplittableRandom random;
    private long meanDelayMs = INITIAL_DELAY_MS;

    /**
     * Starts with the initial delay.
     *
     * @param maxDelayMs maximum delay in milliseconds; less than 50 ms counts as 50 ms
     */
    Backoff(long maxDelayMs, long seed) {
        this.maxDelayMs = Math.max(INITIAL_DELAY_MS, maxDelayMs);
        this.random = new SplittableRandom(seed);
    }

    /**
     * Returns the next delay in milliseconds, between half of the mean and one and a half times it.
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
