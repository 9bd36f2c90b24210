package passhatch.proxy.discovery;

import java.util.SplittableRandom;

/**
 * The pauses before discovery is asked again. They double with each failure and are drawn, as the
 * watches of all proxies end together and must not all come back in the same moment; any success
 * takes them back.
 */
final class Backoff {

    private static final long INITIAL_DELAY_MS = 50;

    private final long maxDelayMs;
    private final SplittableRandom random;
    private long meanDelayMs = INITIAL_DELAY_MS;

    /**
     * As after a success.
     *
     * @param maxDelayMs no pause is longer; one under 50 ms counts as 50 ms
     */
    Backoff(long maxDelayMs, long seed) {
        this.maxDelayMs = Math.max(INITIAL_DELAY_MS, maxDelayMs);
        this.random = new SplittableRandom(seed);
    }

    /** The next pause, in milliseconds: half of its mean to one and a half. */
    long nextDelayMs() {
        long delayMs = Math.min(maxDelayMs, (long) (meanDelayMs * (0.5 + random.nextDouble())));
        meanDelayMs = Math.min(maxDelayMs, meanDelayMs * 2);
        return delayMs;
    }

    /** Discovery has answered. */
    void reset() {
        meanDelayMs = INITIAL_DELAY_MS;
    }
}
