package passhatch.proxy.base;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Prints lines on a thread of its own, so that a stream whose reader is slow does not stop those
 * who write. A bounded number of lines waits; further lines are dropped and counted.
 */
final class LogWriter {

    private static final int MAX_WAITING_LINES = 1_000;
    private static final long FLUSH_CHECK_MS = 1;

    private final PrintStream out;
    private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_WAITING_LINES);
    private final AtomicLong dropped = new AtomicLong();

    /** The number of accepted lines that have not been printed completely. */
    private final AtomicLong unprinted = new AtomicLong();

    /** Creates a writer and starts its thread, which does not keep the process alive. */
    LogWriter(PrintStream out) {
        this.out = out;
        Thread thread = new Thread(this::printLines, "log");
        thread.setDaemon(true);
        thread.start();
    }

    /** Prints text later, or drops it if too much waits already. Never blocks. */
    void print(String text) {
        unprinted.incrementAndGet();
        if (!waiting.offer(text)) {
            unprinted.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    private void printLines() {
        try {
            while (true) {
                out.print(waiting.take());
                printDropped();
                unprinted.decrementAndGet();
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private void printDropped() {
        if (waiting.isEmpty()) {
            long count = dropped.getAndSet(0);
            if (count > 0) {
                out.print(count + " lines of this log were dropped, its reader is too slow\n");
            }
        }
    }

    /** Waits until everything is printed, for the given time in milliseconds at most. */
    void flush(long timeoutMs) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        try {
            while (unprinted.get() > 0 && System.nanoTime() - endNs < 0) {
                Thread.sleep(FLUSH_CHECK_MS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
