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
    private static final long WORTH_A_SNAPSHOT = 1L << 20;

    /** A segment without records: its head and the first mark. */
    private static final int EMPTY_SEGMENT = Format.HEAD_BYTES + Format.RECORD_HEAD;

    /** What the files of a damaged store are called once it was set aside. */
    private static final String ASIDE = "damaged-";

    private final Disk disk;
    private final String owner;
    private final long epoch;
    private final List<String> notes;
    private final List<String> old = new ArrayList<>();
    private long last;
    private String segment;
    private long segmentBytes;
    private long logBytes;
    private long allBytes;
    private StoreException.Failed broken;

    private RecordLog(Disk disk, String owner, long epoch, long last, List<String> notes) {
        this.disk = disk;
        this.owner = owner;
        this.epoch = epoch;
        this.last = last;
        this.notes = notes;
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
            Reader.Found found = new Reader(disk, owner, false, replay).read();
            List<String> notes = new ArrayList<>();
            for (Reader.Fault fault : found.faults()) {
                if (fault.acknowledged()) {
                    throw new StoreException.Damaged(fault.text());
                }
                notes.add(fault.text());
            }
            if (found.epoch() == Long.MAX_VALUE || found.last() == Long.MAX_VALUE) {
                throw new StoreException.Damaged("there are no numbers left for " + owner);
            }
            RecordLog log = new RecordLog(disk, owner, found.epoch() + 1, found.last(), notes);
            log.begin(found);
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
                    if (name.startsWith(ASIDE)) {
                        disk.delete(name);
                    }
                }
                for (String name : disk.list()) {
                    disk.rename(name, ASIDE + name);
                }
                disk.forceFolder();
            } catch (IOException failed) {
                throw new StoreException.Failed(
                        "the store cannot be set aside: " + failed.getMessage(), failed);
            }
            RecordLog log = open(disk, owner, replay);
            log.notes.add("it was damaged and is set aside: " + damaged.getMessage());
            return log;
        }
    }

    private void begin(Reader.Found found) throws IOException {
        if (!found.segments().isEmpty()) {
            String tail = found.segments().get(found.segments().size() - 1);
            if (found.cutAt() >= 0) {
                disk.truncate(tail, found.cutAt());
            }
            // Its last mark may not be there for sure yet, and no torn end may stand before another
            // segment.
            disk.force(tail);
        }
        allBytes = found.bytes();
        logBytes = found.bytes();
        for (String name : found.droppable()) {
            disk.delete(name);
        }
        old.addAll(found.segments());
        if (found.snapshot() != null) {
            old.add(found.snapshot());
        }
        String reused = Format.segment(last + 1);
        if (old.remove(reused)) {
            // The one before this holds no record: its number is needed, and its epoch is below the
            // new one.
            disk.replace(reused, firstBytes());
            disk.append(reused, mark());
            segment = reused;
            segmentBytes = EMPTY_SEGMENT;
        } else {
            roll();
        }
    }

    private ByteBuffer firstBytes() {
        return Format.head(new Format.Head(false, Format.VERSION, owner, epoch, last + 1));
    }

    /** Begins a segment; all that is in the one before has been forced. */
    private void roll() throws IOException {
        if (segment != null) {
            disk.force(segment);
            old.add(segment);
        }
        String next = Format.segment(last + 1);
        disk.create(next);
        disk.append(next, firstBytes());
        disk.force(next);
        disk.forceFolder();
        disk.append(next, mark());
        segment = next;
        segmentBytes = EMPTY_SEGMENT;
        allBytes += segmentBytes;
        logBytes += segmentBytes;
    }

    /** Says that all records so far have been forced. */
    private ByteBuffer mark() {
        ByteBuffer out = ByteBuffer.allocate(Format.RECORD_HEAD);
        Format.put(out, last, Format.MARK, new byte[0]);
        return out.flip();
    }

    /** Grows by one at each opening: the number of this incarnation of its owner. */
    public long epoch() {
        return epoch;
    }

    /** What recovery did, a line each; empty where the store had ended well. */
    public List<String> notes() {
        return List.copyOf(notes);
    }

    /** The number of the last record. */
    public long last() {
        return last;
    }

    /** Whether so much was written since the snapshot that a new one is worth its cost. */
    public boolean wantsSnapshot() {
        return logBytes > WORTH_A_SNAPSHOT;
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
        check();
        long size = Format.RECORD_HEAD;
        for (Entry e : entries) {
            size += checkedSize(e);
        }
        if (allBytes + size > Format.MOST_ALL) {
            throw new StoreException.TooLarge(
                    "the store would hold over " + Format.MOST_ALL + " bytes");
        }
        if (size > Format.MOST_SEGMENT - EMPTY_SEGMENT) {
            throw new StoreException.TooLarge(
                    entries.size()
                            + " records at a time are over "
                            + Format.MOST_SEGMENT
                            + " bytes");
        }
        try {
            if (segmentBytes + size > Format.MOST_SEGMENT) {
                roll();
            }
            ByteBuffer out = ByteBuffer.allocate((int) size - Format.RECORD_HEAD);
            long sequence = last;
            for (Entry e : entries) {
                Format.put(out, ++sequence, e.kind(), e.bytes());
            }
            disk.append(segment, out.flip());
            disk.force(segment);
            last = sequence;
            disk.append(segment, mark());
        } catch (IOException failed) {
            throw fail(failed);
        }
        segmentBytes += size;
        logBytes += size;
        allBytes += size;
        return last;
    }

    /**
     * Puts a snapshot in the place of all records so far.
     *
     * @param state the records that it comes down to
     */
    public void snapshot(List<Entry> state) throws StoreException {
        check();
        long size = Format.HEAD_BYTES + Format.RECORD_HEAD;
        for (Entry e : state) {
            size += checkedSize(e);
        }
        if (size > Format.MOST_ALL / 2) {
            throw new StoreException.TooLarge(
                    "a snapshot of "
                            + size
                            + " bytes; at most half of what the store may "
                            + "hold is allowed");
        }
        ByteBuffer out = ByteBuffer.allocate((int) size);
        out.put(Format.head(new Format.Head(true, Format.VERSION, owner, epoch, last)));
        long count = 0;
        for (Entry e : state) {
            Format.put(out, count++, e.kind(), e.bytes());
        }
        Format.put(out, count, Format.MARK, new byte[0]);
        try {
            String name = Format.snapshot(last);
            disk.replace(name, out.flip());
            if (segmentBytes > EMPTY_SEGMENT) {
                roll();
            } // else it goes on behind the new snapshot: nothing was written since it began
            old.remove(name);
            for (String before : old) {
                disk.delete(before);
            }
            old.clear();
            old.add(name);
            allBytes = size + segmentBytes;
            logBytes = segmentBytes;
        } catch (IOException failed) {
            throw fail(failed);
        }
    }

    /** Bytes that a record takes, if it is one that may be written. */
    private static int checkedSize(Entry e) throws StoreException.TooLarge {
        if (e.bytes().length > Format.MOST_RECORD) {
            throw new StoreException.TooLarge(
                    "a record of "
                            + e.bytes().length
                            + " bytes; at most "
                            + Format.MOST_RECORD
                            + " are allowed");
        }
        if (e.kind() <= Format.MARK || e.kind() > Entry.MOST_KIND) {
            throw new IllegalArgumentException(
                    "kind " + e.kind() + " is not from 1 to " + Entry.MOST_KIND);
        }
        return Format.size(e.bytes());
    }

    private void check() throws StoreException {
        if (broken != null) {
            throw new StoreException.Failed(broken.getMessage(), broken.getCause());
        }
    }

    private StoreException.Failed fail(IOException failed) {
        broken =
                new StoreException.Failed(
                        "the disk failed, so nothing is acknowledged until the store is opened "
                                + "again: "
                                + failed.getMessage(),
                        failed);
        return broken;
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
