package passhatch.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A log of records that survive a power loss once they are acknowledged, with snapshots that stand
 * for all before them. For one thread; {@link GroupCommit} shares it. Recovery and its rules are in
 * {@code docs/recovery.md}.
 *
 * <p>After each force a mark follows that vouches for the records before it, so that a last record
 * which rotted is told from one that was never whole (the difficulty is described by Alagappan et
 * al., "Protocol-Aware Recovery for Consensus-Based Storage", FAST 2018).
 */
public final class RecordLog implements AutoCloseable {

    /** So many bytes after the snapshot are worth a new one. */
    private static final long SNAPSHOT_THRESHOLD_BYTES = 1L << 20;

    /** A segment without records: its head and the first mark. */
    private static final int EMPTY_SEGMENT_BYTES = Format.HEADER_BYTES + Format.RECORD_HEADER_BYTES;

    /** What the files of a damaged store are called once it was set aside. */
    private static final String DAMAGED_PREFIX = "damaged-";

    private final Disk disk;
    private final String owner;
    private final long epoch;
    private final List<String> warnings;
    private final List<String> obsolete = new ArrayList<>();
    private long lastSequence;
    private String segment;
    private long segmentBytes;
    private long logBytes;
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
     * Opens the store of an owner; the folder may be empty. The new epoch is on disk before this
     * returns.
     *
     * @param owner at most 64 bytes in UTF-8
     * @param replay hears the state: each record of the snapshot, and each after it, in order
     * @throws StoreException.Damaged where something that was acknowledged does not check; nothing
     *     is changed
     * @throws StoreException.Foreign where the folder is another owner's or a newer program's
     * @throws StoreException.Failed where the disk does
     */
    public static RecordLog open(Disk disk, String owner, Consumer<Entry> replay)
            throws StoreException {
        try {
            Reader.Contents contents = new Reader(disk, owner, false, replay).read();
            List<String> warnings = new ArrayList<>();
            for (Reader.Fault fault : contents.faults()) {
                if (fault.acknowledged()) {
                    throw new StoreException.Damaged(fault.text());
                }
                warnings.add(fault.text());
            }
            if (contents.epoch() == Long.MAX_VALUE || contents.lastSequence() == Long.MAX_VALUE) {
                throw new StoreException.Damaged("there are no numbers left for " + owner);
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

    /** Opens what is only a help: one that is damaged is set aside, and a note says so. */
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
            log.warnings.add("it was damaged and is set aside: " + damaged.getMessage());
            return log;
        }
    }

    private void prepareForWriting(Reader.Contents contents) throws IOException {
        if (!contents.segments().isEmpty()) {
            String tail = contents.segments().get(contents.segments().size() - 1);
            if (contents.truncateAt() >= 0) {
                disk.truncate(tail, contents.truncateAt());
            }
            // Its last mark may not be there for sure yet, and no torn end may stand before another
            // segment.
            disk.force(tail);
        }
        totalBytes = contents.bytes();
        logBytes = contents.bytes();
        for (String name : contents.obsolete()) {
            disk.delete(name);
        }
        obsolete.addAll(contents.segments());
        if (contents.snapshot() != null) {
            obsolete.add(contents.snapshot());
        }
        String reused = Format.segmentName(lastSequence + 1);
        if (obsolete.remove(reused)) {
            // The one before this holds no record: its number is needed, and its epoch is below the
            // new one.
            disk.replace(reused, segmentHeader());
            disk.append(reused, mark());
            segment = reused;
            segmentBytes = EMPTY_SEGMENT_BYTES;
        } else {
            roll();
        }
    }

    private ByteBuffer segmentHeader() {
        return Format.encodeHeader(
                new Format.Header(false, Format.VERSION, owner, epoch, lastSequence + 1));
    }

    /** Begins a segment; all that is in the one before has been forced. */
    private void roll() throws IOException {
        if (segment != null) {
            disk.force(segment);
            obsolete.add(segment);
        }
        String next = Format.segmentName(lastSequence + 1);
        disk.create(next);
        disk.append(next, segmentHeader());
        disk.force(next);
        disk.forceFolder();
        disk.append(next, mark());
        segment = next;
        segmentBytes = EMPTY_SEGMENT_BYTES;
        totalBytes += segmentBytes;
        logBytes += segmentBytes;
    }

    /** Says that all records so far have been forced. */
    private ByteBuffer mark() {
        ByteBuffer out = ByteBuffer.allocate(Format.RECORD_HEADER_BYTES);
        Format.putRecord(out, lastSequence, Format.MARK, new byte[0]);
        return out.flip();
    }

    /** Grows by one at each opening: the number of this incarnation of its owner. */
    public long epoch() {
        return epoch;
    }

    /** What recovery did, a line each; empty where the store had ended well. */
    public List<String> warnings() {
        return List.copyOf(warnings);
    }

    /** The number of the last record. */
    public long lastSequence() {
        return lastSequence;
    }

    /** Whether so much was written since the snapshot that a new one is worth its cost. */
    public boolean isSnapshotDue() {
        return logBytes > SNAPSHOT_THRESHOLD_BYTES;
    }

    /**
     * Writes records and returns once they are acknowledged: all of them are on disk for sure.
     *
     * @return the number of the last one
     * @throws StoreException.TooLarge where a record or the whole would be over its bound; none is
     *     written
     * @throws StoreException.Failed where the disk failed, now or before; whether they are there
     *     shows once the store was opened again
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
                            + " records at a time are over "
                            + Format.MAX_SEGMENT_BYTES
                            + " bytes");
        }
        try {
            if (segmentBytes + size > Format.MAX_SEGMENT_BYTES) {
                roll();
            }
            ByteBuffer out = ByteBuffer.allocate((int) size - Format.RECORD_HEADER_BYTES);
            long sequence = lastSequence;
            for (Entry e : entries) {
                Format.putRecord(out, ++sequence, e.kind(), e.bytes());
            }
            disk.append(segment, out.flip());
            disk.force(segment);
            lastSequence = sequence;
            disk.append(segment, mark());
        } catch (IOException failed) {
            throw fail(failed);
        }
        segmentBytes += size;
        logBytes += size;
        totalBytes += size;
        return lastSequence;
    }

    /**
     * Puts a snapshot in the place of all records so far.
     *
     * @param state the records that it comes down to
     */
    public void snapshot(List<Entry> state) throws StoreException {
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
        Format.putRecord(out, count, Format.MARK, new byte[0]);
        try {
            String name = Format.snapshotName(lastSequence);
            disk.replace(name, out.flip());
            if (segmentBytes > EMPTY_SEGMENT_BYTES) {
                roll();
            } // else it goes on behind the new snapshot: nothing was written since it began
            obsolete.remove(name);
            for (String file : obsolete) {
                disk.delete(file);
            }
            obsolete.clear();
            obsolete.add(name);
            totalBytes = size + segmentBytes;
            logBytes = segmentBytes;
        } catch (IOException failed) {
            throw fail(failed);
        }
    }

    /** Bytes that a record takes, if it is one that may be written. */
    private static int checkedSize(Entry e) throws StoreException.TooLarge {
        if (e.bytes().length > Format.MAX_RECORD_BYTES) {
            throw new StoreException.TooLarge(
                    "a record of "
                            + e.bytes().length
                            + " bytes; at most "
                            + Format.MAX_RECORD_BYTES
                            + " are allowed");
        }
        if (e.kind() <= Format.MARK || e.kind() > Entry.MAX_KIND) {
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

    /** Gives up the disk; what is not acknowledged by now may or may not be there. */
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
