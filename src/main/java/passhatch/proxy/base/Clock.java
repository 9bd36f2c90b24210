package passhatch.proxy.base;

import java.util.concurrent.TimeUnit;

/**
 * The clock of the decision module, in microseconds. It starts at the Unix time of the process
 * start and then follows the monotonic clock, so Unix times from discovery can be compared with it
 * directly. A step of the wall clock does not move this clock back, and does not make the known
 * start time of a server look like a new one.
 */
public final class Clock {

    private final long originUs = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    private final long originNs = System.nanoTime();

    public long nowUs() {
        return originUs + (System.nanoTime() - originNs) / 1000;
    }

    /**
     * Converts a Unix time in milliseconds to a time of this clock. The result for 0, which stands
     * for a time long ago, is 0.
     */
    public static long fromUnixMs(long unixMs) {
        return TimeUnit.MILLISECONDS.toMicros(unixMs);
    }
}
