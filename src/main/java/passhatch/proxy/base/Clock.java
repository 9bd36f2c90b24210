package passhatch.proxy.base;

import java.util.concurrent.TimeUnit;

/**
 * The clock of the decision module, in microseconds. It starts at the Unix time of the process
 * start and then follows the monotonic clock, so Unix times from discovery can be compared with it
 * directly, and a step of the wall clock neither moves it back nor makes a known start time look
 * like a new one.
 */
public final class Clock {

    private final long originUs = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    private final long originNs = System.nanoTime();

    public long nowUs() {
        return originUs + (System.nanoTime() - originNs) / 1000;
    }

    /** Converts a Unix time in milliseconds to this clock; 0, which means long ago, stays 0. */
    public static long fromUnixMs(long unixMs) {
        return TimeUnit.MILLISECONDS.toMicros(unixMs);
    }
}
