package passhatch.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;

/**
 * Shares a record log among threads: what comes while the disk is being forced goes out together
 * with the next force. Owns the log and the one thread that writes to it.
 */
public final class GroupCommit implements AutoCloseable {

    /** Records that wait for the disk; who brings more waits as well. */
    private static final int MOST_WAITING = 4096;

    /** Bytes of one group, so that it always fits a segment. */
    private static final int MOST_BYTES = 1 << 20;

    /** One record that waits; a null entry asks the thread to end. */
    private record Waiting(Entry entry, CompletableFuture<Long> done) {}

    private final RecordLog log;
    private final BlockingQueue<Waiting> queue = new ArrayBlockingQueue<>(MOST_WAITING);
    private final Thread thread;

    /** Takes a log over; nobody else may use it from now on. */
    public GroupCommit(RecordLog log) {
        this.log = log;
        this.thread = new Thread(this::run, "store");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Writes a record.
     *
     * @return completes with its number once it is acknowledged, or with the {@link StoreException}
     */
    public CompletableFuture<Long> submit(Entry entry) throws InterruptedException {
        CompletableFuture<Long> done = new CompletableFuture<>();
        queue.put(new Waiting(entry, done));
        return done;
    }

    private void run() {
        List<Waiting> group = new ArrayList<>();
        boolean over = false;
        try {
            while (!over) {
                group.clear();
                group.add(queue.take());
                long bytes = bytes(group.get(0));
                while (bytes < MOST_BYTES && queue.peek() != null) {
                    Waiting next = queue.poll();
                    bytes += bytes(next);
                    group.add(next);
                }
                over = group.removeIf(w -> w.entry() == null);
                write(group);
            }
        } catch (InterruptedException stop) {
            Thread.currentThread().interrupt();
        }
    }

    private static long bytes(Waiting waiting) {
        return waiting.entry() == null ? 0 : Format.size(waiting.entry().bytes());
    }

    private void write(List<Waiting> group) {
        if (group.isEmpty()) {
            return;
        }
        try {
            long last = log.append(group.stream().map(Waiting::entry).toList());
            for (int i = 0; i < group.size(); i++) {
                group.get(i).done().complete(last - group.size() + 1 + i);
            }
        } catch (StoreException.TooLarge one) {
            if (group.size() == 1) {
                group.get(0).done().completeExceptionally(one);
            } else {
                // One that is too large must not take the others with it.
                group.forEach(w -> write(List.of(w)));
            }
        } catch (StoreException | RuntimeException failed) {
            group.forEach(w -> w.done().completeExceptionally(failed));
        }
    }

    /**
     * Writes what waits, and gives the log up; who is interrupted meanwhile leaves the rest
     * unwritten.
     */
    @Override
    public void close() throws StoreException {
        try {
            queue.put(new Waiting(null, null));
            thread.join();
        } catch (InterruptedException stop) {
            thread.interrupt();
            Thread.currentThread().interrupt();
        }
        log.close();
    }
}
