package passhatch.lab.soak;

import java.util.concurrent.TimeUnit;

/** Measures how long the threads of this process were held up, which its records do not show. */
final class StallMeter implements AutoCloseable {

    private static final long INTERVAL_MS = 5;

    private final Thread thread = new Thread(this::measure, "stall-meter");
    private volatile boolean stopped;
    private volatile long longestNs;

    StallMeter() {
        thread.setDaemon(true);
        thread.start();
    }

    private void measure() {
        try {
            while (!stopped) {
                long beforeNs = System.nanoTime();
                Thread.sleep(INTERVAL_MS);
                long overNs =
                        System.nanoTime() - beforeNs - TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS);
                longestNs = Math.max(longestNs, overNs);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the longest time for which a thread was held up so far, in milliseconds. */
    long longestMs() {
        return TimeUnit.NANOSECONDS.toMillis(longestNs);
    }

    @Override
    public void close() {
        stopped = true;
    }
}
