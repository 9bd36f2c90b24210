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
    private final Thread writerThread;

    /** Takes ownership of a log; no other code may use it from now on. */
    public GroupCommit(RecordLog log) {
        this.log = log;
        this.writerThread = new Thread(this::writeGroups, "store");
        writerThread.setDaemon(true);
        writerThread.start();
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

    private void writeGroups() {
        List<PendingRecord> group = new ArrayList<>();
        boolean stopped = false;
        try {
            while (!stopped) {
                group.clear();
                group.add(queue.take());
                long bytes = sizeOf(group.get(0));
                while (bytes < MAX_GROUP_BYTES && queue.peek() != null) {
                    PendingRecord next = queue.poll();
                    bytes += sizeOf(next);
                    group.add(next);
                }
                stopped = group.removeIf(w -> w.entry() == null);
                writeGroup(group);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static long sizeOf(PendingRecord pending) {
        return pending.entry() == null ? 0 : Format.recordSize(pending.entry().bytes());
    }

    private void writeGroup(List<PendingRecord> group) {
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
                group.forEach(w -> writeGroup(List.of(w)));
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
            writerThread.join();
        } catch (InterruptedException interrupted) {
            writerThread.interrupt();
            Thread.currentThread().interrupt();
        }
        log.close();
    }
}
