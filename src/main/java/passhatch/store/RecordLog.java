package passhatch.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A log of records and snapshots. Records survive a power loss once they are acknowledged. A
 * snapshot replaces all records before it. This class is not thread-safe; {@link GroupCommit}
 * shares a log among threads. Recovery and its rules are described in {@code docs/recovery.md}.
 *
 * <p>Each time the log has forced records to disk, it appends a mark, which confirms that the
 * records before the mark were forced. Marks make it possible to distinguish a last record that was
 * corrupted later from one that was never completely written (the problem is described by Alagappan
 * et al., "Protocol-Aware Recovery for Consensus-Based Storage", FAST 2018).
 */
public final class RecordLog implements AutoCloseable {

    /**
     * A new snapshot is due once more than this number of bytes has been written since the last
     * one.
     */
    private static final long SNAPSHOT_THRESHOLD_BYTES = 1L << 20;

    /** Size of a segment without records: its header and the first mark. */
    private static final int EMPTY_SEGMENT_BYTES = Format.HEADER_BYTES + Format.RECORD_HEADER_BYTES;

    /** Prefix added to the names of a damaged store's files when a new store replaces it. */
    private static final String DAMAGED_PREFIX = "damaged-";

    private final Disk disk;
    private final String owner;
    private final long epoch;
    private final List<String> warnings;
    private final List<String> obsoleteAfterSnapshot = new ArrayList<>();
    private long lastSequence;
    private String currentSegment;
    private long segmentBytes;
    private long bytesSinceSnapshot;
    private long totalBytes;
    private StoreException.Failed failure;

    private RecordLog(
            Disk disk, String owner, long epoch, long lastSequence, List<String> warnings) {
        this.disk = disk;
        this.owner = owner;
        this.epoch = epoch;
        this.lastSequence = lastSequence;
        this.warnings = warnings;
    }

    /**
     * Opens the store of an owner. If the folder is empty, a new store is created. Opening a store
     * raises its epoch by one, and the new epoch is on disk before this method returns.
     *
     * @param owner name of the owner, at most 64 bytes in UTF-8
     * @param replay receives each record of the snapshot and then each later record, in order
     * @throws StoreException.Damaged if acknowledged data is corrupt; no file is changed
     * @throws StoreException.Foreign if the folder belongs to another owner or was written by a
     *     newer program
     * @throws StoreException.Failed if the disk fails
     */
    public static RecordLog open(Disk disk, String owner, Consumer<Entry> replay)
            throws StoreException {
        try {
            Reader.Contents contents = new Reader(disk, owner, false, replay).read();
            List<String> warnings = new ArrayList<>();
            for (Reader.Fault fault : contents.faults()) {
                if (fault.maybeAcknowledged()) {
                    throw new StoreException.Damaged(fault.describe());
                }
                warnings.add(fault.describe());
            }
            if (contents.epoch() == Long.MAX_VALUE || contents.lastSequence() == Long.MAX_VALUE) {
                throw new StoreException.Damaged(
                        "the epochs or the record numbers are exhausted for " + owner);
            }
            RecordLog log =
                    new RecordLog(
                            disk, owner, contents.epoch() + 1, contents.lastSequence(), warnings);
            log.prepareForWriting(contents);
            return log;
        } catch (IOException failed) {
            throw new StoreException.Failed(
                    "the store cannot be opened: " + failed.getMessage(), failed);
        }
    }

    /**
     * Opens a store whose content can be rebuilt if it is lost. If the store is damaged, its files
     * are renamed, a new store is created, and a warning in {@link #warnings} reports the damage.
     */
    public static RecordLog openOrSetAside(Disk disk, String owner, Consumer<Entry> replay)
            throws StoreException {
        List<Entry> entries = new ArrayList<>();
        try {
            RecordLog log = open(disk, owner, entries::add);
            entries.forEach(replay);
            return log;
        } catch (StoreException.Damaged damaged) {
            try {
                for (String name : disk.list()) {
                    if (name.startsWith(DAMAGED_PREFIX)) {
                        disk.delete(name);
                    }
                }
                for (String name : disk.list()) {
                    disk.rename(name, DAMAGED_PREFIX + name);
                }
                disk.forceFolder();
            } catch (IOException failed) {
                throw new StoreException.Failed(
                        "the store cannot be set aside: " + failed.getMessage(), failed);
            }
            RecordLog log = open(disk, owner, replay);
            log.warnings.add(
                    "the store was damaged and has been set aside: " + damaged.getMessage());
            return log;
        }
    }

    private void prepareForWriting(Reader.Contents contents) throws IOException {
        if (!contents.segments().isEmpty()) {
            String tail = contents.segments().get(contents.segments().size() - 1);
            if (contents.truncateAt() >= 0) {
                disk.truncate(tail, contents.truncateAt());
            }
            // The last mark may not be durable yet, and the truncation has to be durable before
            // another segment is created.
            disk.force(tail);
        }
        totalBytes = contents.totalBytes();
        bytesSinceSnapshot = contents.totalBytes();
        for (String name : contents.obsoleteFiles()) {
            disk.delete(name);
        }
        obsoleteAfterSnapshot.addAll(contents.segments());
        if (contents.snapshot() != null) {
            obsoleteAfterSnapshot.add(contents.snapshot());
        }
        String reused = Format.segmentName(lastSequence + 1);
        if (obsoleteAfterSnapshot.remove(reused)) {
            // The existing segment of this name contains no record. It is replaced, because its
            // name is needed and its header has an older epoch.
            disk.replace(reused, encodeSegmentHeader());
            disk.append(reused, encodeMark());
            currentSegment = reused;
            segmentBytes = EMPTY_SEGMENT_BYTES;
        } else {
            startSegment();
        }
    }

    private ByteBuffer encodeSegmentHeader() {
        return Format.encodeHeader(
                new Format.Header(false, Format.VERSION, owner, epoch, lastSequence + 1));
    }

    /** Starts a new segment, after forcing all data of the current segment to disk. */
    private void startSegment() throws IOException {
        if (currentSegment != null) {
            disk.force(currentSegment);
            obsoleteAfterSnapshot.add(currentSegment);
        }
        String next = Format.segmentName(lastSequence + 1);
        disk.create(next);
        disk.append(next, encodeSegmentHeader());
        disk.force(next);
        disk.forceFolder();
        disk.append(next, encodeMark());
        currentSegment = next;
        segmentBytes = EMPTY_SEGMENT_BYTES;
        totalBytes += segmentBytes;
        bytesSinceSnapshot += segmentBytes;
    }

    /** Returns an encoded mark, which confirms that all records so far have been forced. */
    private ByteBuffer encodeMark() {
        ByteBuffer out = ByteBuffer.allocate(Format.RECORD_HEADER_BYTES);
        Format.putRecord(out, lastSequence, Format.MARK_KIND, new byte[0]);
        return out.flip();
    }

    /**
     * Returns the epoch of this store, which increases by one each time the store is opened. The
     * owner uses the epoch as its incarnation number.
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns a line of text for each problem that was repaired when the store was opened; empty
     * after a clean shutdown.
     */
    public List<String> warnings() {
        return List.copyOf(warnings);
    }

    /** Returns the sequence number of the last record. */
    public long lastSequence() {
        return lastSequence;
    }

    /**
     * Returns whether a new snapshot is due, because the log has grown enough since the last
     * snapshot.
     */
    public boolean isSnapshotDue() {
        return bytesSinceSnapshot > SNAPSHOT_THRESHOLD_BYTES;
    }

    /**
     * Writes records to the log. Once this method returns, the records are acknowledged, which
     * means that they are durable.
     *
     * @return the sequence number of the last record
     * @throws StoreException.TooLarge if a record, all of these records or the store would exceed
     *     its maximum size; no record is written
     * @throws StoreException.Failed if the disk failed during this call or an earlier one; whether
     *     the records were written is known only after the store is opened again
     */
    public long append(List<Entry> entries) throws StoreException {
        requireUsable();
        long size = Format.RECORD_HEADER_BYTES;
        for (Entry e : entries) {
            size += checkedSize(e);
        }
        if (totalBytes + size > Format.MAX_TOTAL_BYTES) {
            throw new StoreException.TooLarge(
                    "the store would hold over " + Format.MAX_TOTAL_BYTES + " bytes");
        }
        if (size > Format.MAX_SEGMENT_BYTES - EMPTY_SEGMENT_BYTES) {
            throw new StoreException.TooLarge(
                    entries.size()
                            + " records in one append exceed "
                            + Format.MAX_SEGMENT_BYTES
                            + " bytes");
        }
        try {
            if (segmentBytes + size > Format.MAX_SEGMENT_BYTES) {
                startSegment();
            }
            ByteBuffer out = ByteBuffer.allocate((int) size - Format.RECORD_HEADER_BYTES);
            long sequence = lastSequence;
            for (Entry e : entries) {
                Format.putRecord(out, ++sequence, e.kind(), e.bytes());
            }
            disk.append(currentSegment, out.flip());
            disk.force(currentSegment);
            lastSequence = sequence;
            disk.append(currentSegment, encodeMark());
        } catch (IOException failed) {
            throw fail(failed);
        }
        segmentBytes += size;
        bytesSinceSnapshot += size;
        totalBytes += size;
        return lastSequence;
    }

    /**
     * Replaces all records so far by a snapshot.
     *
     * @param state the records of the snapshot, which restore the current state
     */
    public void writeSnapshot(List<Entry> state) throws StoreException {
        requireUsable();
        long size = Format.HEADER_BYTES + Format.RECORD_HEADER_BYTES;
        for (Entry e : state) {
            size += checkedSize(e);
        }
        if (size > Format.MAX_TOTAL_BYTES / 2) {
            throw new StoreException.TooLarge(
                    "a snapshot of "
                            + size
                            + " bytes; at most half of what the store may "
                            + "hold is allowed");
        }
        ByteBuffer out = ByteBuffer.allocate((int) size);
        out.put(
                Format.encodeHeader(
                        new Format.Header(true, Format.VERSION, owner, epoch, lastSequence)));
        long count = 0;
        for (Entry e : state) {
            Format.putRecord(out, count++, e.kind(), e.bytes());
        }
        Format.putRecord(out, count, Format.MARK_KIND, new byte[0]);
        try {
            String name = Format.snapshotName(lastSequence);
            disk.replace(name, out.flip());
            if (segmentBytes > EMPTY_SEGMENT_BYTES) {
                startSegment();
            } // otherwise the segment is empty and continues after the new snapshot
            obsoleteAfterSnapshot.remove(name);
            for (String file : obsoleteAfterSnapshot) {
                disk.delete(file);
            }
            obsoleteAfterSnapshot.clear();
            obsoleteAfterSnapshot.add(name);
            totalBytes = size + segmentBytes;
            bytesSinceSnapshot = segmentBytes;
        } catch (IOException failed) {
            throw fail(failed);
        }
    }

    /**
     * Returns the size of a record on disk in bytes, after checking the size of its content and its
     * kind.
     */
    private static int checkedSize(Entry e) throws StoreException.TooLarge {
        if (e.bytes().length > Format.MAX_RECORD_BYTES) {
            throw new StoreException.TooLarge(
                    "a record of "
                            + e.bytes().length
                            + " bytes; at most "
                            + Format.MAX_RECORD_BYTES
                            + " are allowed");
        }
        if (e.kind() <= Format.MARK_KIND || e.kind() > Entry.MAX_KIND) {
            throw new IllegalArgumentException(
                    "kind " + e.kind() + " is not from 1 to " + Entry.MAX_KIND);
        }
        return Format.recordSize(e.bytes());
    }

    private void requireUsable() throws StoreException {
        if (failure != null) {
            throw new StoreException.Failed(failure.getMessage(), failure.getCause());
        }
    }

    private StoreException.Failed fail(IOException cause) {
        failure =
                new StoreException.Failed(
                        "the disk failed, so nothing is acknowledged until the store is opened "
                                + "again: "
                                + cause.getMessage(),
                        cause);
        return failure;
    }

    /**
     * Closes the log and its disk. Records that are not acknowledged may or may not have been
     * written.
     */
    @Override
    public void close() throws StoreException {
        try {
            disk.close();
        } catch (IOException failed) {
            throw new StoreException.Failed(
                    "the store cannot be closed: " + failed.getMessage(), failed);
        }
    }
}
