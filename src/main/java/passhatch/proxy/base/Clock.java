package passhatch.proxy.base;

import java.util.concurrent.TimeUnit;

/**
 * The module's clock: microseconds that start at the Unix time of this process's start and then
 * follow the monotonic clock. Unix times of discovery can be compared with it as they are, and a
 * step of the wall clock neither moves it back nor makes a known start time look like a new one.
 */
public final class Clock {

    private final long originUs = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    private final long originNs = System.nanoTime();

    public long nowUs() {
        return originUs + (System.nanoTime() - originNs) / 1000;
    }

    /** A Unix time in milliseconds on this clock; 0, which stands for long ago, stays 0. */
    public static long fromUnixMs(long unixMs) {
        return TimeUnit.MILLISECONDS.toMicros(unixMs);
    }
}
