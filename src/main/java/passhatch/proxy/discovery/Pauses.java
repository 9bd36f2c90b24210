package passhatch.proxy.discovery;

import java.util.SplittableRandom;

/**
 * The pauses before discovery is asked again. They double with each failure and are drawn, as the
 * watches of all proxies end together and must not all come back in the same moment; any success
 * takes them back.
 */
final class Pauses {

    private static final long FIRST_MS = 50;

    private final long longestMs;
    private final SplittableRandom random;
    private long meanMs = FIRST_MS;

    /**
     * As after a success.
     *
     * @param longestMs no pause is longer; one under 50 ms counts as 50 ms
     */
    Pauses(long longestMs, long seed) {
        this.longestMs = Math.max(FIRST_MS, longestMs);
        this.random = new SplittableRandom(seed);
    }

    /** The next pause, in milliseconds: half of its mean to one and a half. */
    long next() {
        long ms = Math.min(longestMs, (long) (meanMs * (0.5 + random.nextDouble())));
        meanMs = Math.min(longestMs, meanMs * 2);
        return ms;
    }

    /** Discovery has answered. */
    void reset() {
        meanMs = FIRST_MS;
    }
}
