package passhatch.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;

/**
 * Shares a record log among threads: records submitted while the disk is being forced are written
 * together with the next force. Owns the log and the only thread that writes to it.
 */
public final class GroupCommit implements AutoCloseable {

    /** Maximum number of records that wait for the disk; further submitters block. */
    private static final int MAX_QUEUED_RECORDS = 4096;

    /** Size in bytes at which a group is closed, so that it always fits into a segment. */
    private static final int MAX_GROUP_BYTES = 1 << 20;

    /** One record that waits to be written; a null entry asks the thread to stop. */
    private record PendingRecord(Entry entry, CompletableFuture<Long> result) {}

    private final RecordLog log;
    private final BlockingQueue<PendingRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED_RECORDS);
    private final Thread thread;

    /** Takes ownership of a log; no other code may use it from now on. */
    public GroupCommit(RecordLog log) {
        this.log = log;
        this.thread = new Thread(this::run, "store");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Submits a record to be written.
     *
     * @return completes with its sequence number once it is acknowledged, or with the {@link
     *     StoreException}
     */
    public CompletableFuture<Long> submit(Entry entry) throws InterruptedException {
        CompletableFuture<Long> done = new CompletableFuture<>();
        queue.put(new PendingRecord(entry, done));
        return done;
    }

    private void run() {
        List<PendingRecord> group = new ArrayList<>();
        boolean stopped = false;
        try {
            while (!stopped) {
                group.clear();
                group.add(queue.take());
                long bytes = bytes(group.get(0));
                while (bytes < MAX_GROUP_BYTES && queue.peek() != null) {
                    PendingRecord next = queue.poll();
                    bytes += bytes(next);
                    group.add(next);
                }
                stopped = group.removeIf(w -> w.entry() == null);
                write(group);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static long bytes(PendingRecord waiting) {
        return waiting.entry() == null ? 0 : Format.recordSize(waiting.entry().bytes());
    }

    private void write(List<PendingRecord> group) {
        if (group.isEmpty()) {
            return;
        }
        try {
            long last = log.append(group.stream().map(PendingRecord::entry).toList());
            for (int i = 0; i < group.size(); i++) {
                group.get(i).result().complete(last - group.size() + 1 + i);
            }
        } catch (StoreException.TooLarge tooLarge) {
            if (group.size() == 1) {
                group.get(0).result().completeExceptionally(tooLarge);
            } else {
                // A record that is too large must not fail the others of its group.
                group.forEach(w -> write(List.of(w)));
            }
        } catch (StoreException | RuntimeException failed) {
            group.forEach(w -> w.result().completeExceptionally(failed));
        }
    }

    /**
     * Writes the queued records and closes the log; if the calling thread is interrupted, the rest
     * is not written.
     */
    @Override
    public void close() throws StoreException {
        try {
            queue.put(new PendingRecord(null, null));
            thread.join();
        } catch (InterruptedException interrupted) {
            thread.interrupt();
            Thread.currentThread().interrupt();
        }
        log.close();
    }
}
