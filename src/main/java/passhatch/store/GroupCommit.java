package passhatch.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;

/**
 * Shares a record log among threads. The records that are submitted during a write to disk are
 * written together as the next group. A group commit owns the log and runs the only thread that
 * writes to it.
 */
public final class GroupCommit implements AutoCloseable {

    /**
     * Maximum number of records that wait to be written. A thread that submits a further record
     * blocks until there is room.
     */
    private static final int MAX_QUEUED_RECORDS = 4096;

    /**
     * A group that has reached this size in bytes gets no further record, so that a group always
     * fits into a segment.
     */
    private static final int MAX_GROUP_BYTES = 1 << 20;

    /**
     * A record that waits to be written, with the future that receives the result of the write. A
     * null entry asks the writing thread to stop.
     */
    private record PendingRecord(Entry entry, CompletableFuture<Long> result) {}

    private final RecordLog log;
    private final BlockingQueue<PendingRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED_RECORDS);
    private final Thread writerThread;

    /** Takes ownership of a log. No other code may use the log after that. */
    public GroupCommit(RecordLog log) {
        this.log = log;
        this.writerThread = new Thread(this::writeGroups, "store");
        writerThread.setDaemon(true);
        writerThread.start();
    }

    /**
     * Submits a record to be written.
     *
     * @return a future that completes with the sequence number of the record once it is durable, or
     *     with the {@link StoreException} if it cannot be written
     */
    public CompletableFuture<Long> submit(Entry entry) throws InterruptedException {
        CompletableFuture<Long> result = new CompletableFuture<>();
        queue.put(new PendingRecord(entry, result));
        return result;
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
                // A record that is too large must not make the other records of its group fail.
                group.forEach(w -> writeGroup(List.of(w)));
            }
        } catch (StoreException | RuntimeException failed) {
            group.forEach(w -> w.result().completeExceptionally(failed));
        }
    }

    /**
     * Writes the queued records and closes the log. If the calling thread is interrupted, the
     * records that are still queued are not written.
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
