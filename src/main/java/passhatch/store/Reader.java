package passhatch.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import passhatch.store.Format.Head;
import passhatch.store.Format.Read;

/**
 * Reads all that a folder holds and tells what is good, what was never acknowledged, and what is
 * damaged. Changes nothing. One file is held at a time.
 */
final class Reader {

    /**
     * What is wrong with one place; {@code acknowledged} where it may have been promised to
     * somebody.
     */
    record Fault(String file, long at, String what, boolean acknowledged) {
        String text() {
            return file + ", byte " + at + ": " + what;
        }
    }

    /**
     * What was found.
     *
     * @param last sequence number of the last good record; 0 where there is none
     * @param epoch the greatest of all heads; 0 where there is none
     * @param bytes of the snapshot and the segments after it
     * @param snapshot name of the one that counts, or null
     * @param segments names of those that count, in their order
     * @param cutAt size that the last segment is to be cut down to; -1 where it ends well
     * @param droppable names of files that do not count any more, or never did
     * @param faults in the order they were found; where one is of what was acknowledged, the rest
     *     is not read
     */
    record Found(
            long last,
            long epoch,
            long bytes,
            String snapshot,
            List<String> segments,
            long cutAt,
            List<String> droppable,
            List<Fault> faults) {}

    private final Disk disk;
    private final String owner;
    private final boolean salvage;
    private final Consumer<Entry> replay;
    private final List<Fault> faults = new ArrayList<>();
    private final List<String> droppable = new ArrayList<>();
    private long last;
    private long epoch;
    private long bytes;
    private long cutAt = -1;
    private boolean stopped;

    /**
     * A reader of a folder.
     *
     * @param owner whose it has to be; null where any will do
     * @param salvage reads on past damage
     * @param replay hears each record that is good
     */
    Reader(Disk disk, String owner, boolean salvage, Consumer<Entry> replay) {
        this.disk = disk;
        this.owner = owner;
        this.salvage = salvage;
        this.replay = replay;
    }

    Found read() throws IOException, StoreException {
        List<String> names = disk.list();
        List<String> snapshots = sorted(names, true);
        List<String> segments = sorted(names, false);
        names.stream().filter(n -> n.endsWith(".new")).forEach(droppable::add);
        String snapshot = null;
        if (!snapshots.isEmpty()) {
            snapshot = snapshots.get(snapshots.size() - 1);
            droppable.addAll(snapshots.subList(0, snapshots.size() - 1));
            readSnapshot(snapshot);
        }
        while (segments.size() > 1 && Format.number(segments.get(1), false) <= last + 1) {
            headOf(segments.get(0), disk.read(segments.get(0), Format.MOST_SEGMENT));
            droppable.add(segments.remove(0));
        }
        if (snapshot != null && segments.isEmpty()) {
            fault(snapshot, 0, "the segment after it is missing", true);
        }
        List<String> counted = new ArrayList<>();
        for (int i = 0; i < segments.size() && !stopped; i++) {
            if (readSegment(segments.get(i), i == segments.size() - 1)) {
                counted.add(segments.get(i));
            }
        }
        return new Found(last, epoch, bytes, snapshot, counted, cutAt, droppable, faults);
    }

    private static List<String> sorted(List<String> names, boolean ofSnapshot) {
        return new ArrayList<>(
                names.stream()
                        .filter(n -> Format.number(n, ofSnapshot) >= 0)
                        .sorted(Comparator.comparingLong(n -> Format.number(n, ofSnapshot)))
                        .toList());
    }

    private void fault(String file, long at, String what, boolean acknowledged) {
        faults.add(new Fault(file, at, what, acknowledged));
        stopped |= acknowledged && !salvage;
    }

    /** The head of a file, with its epoch taken note of; null where it does not check. */
    private Head headOf(String file, byte[] content) throws StoreException {
        Head head = Format.readHead(content);
        if (head == null) {
            return null;
        }
        if (head.version() > Format.VERSION) {
            throw new StoreException.Foreign(
                    file
                            + " has format version "
                            + head.version()
                            + ", and this program "
                            + "knows versions up to "
                            + Format.VERSION);
        }
        if (owner != null && !head.owner().equals(owner)) {
            throw new StoreException.Foreign(
                    file + " belongs to '" + head.owner() + "', not to '" + owner + "'");
        }
        epoch = Math.max(epoch, head.epoch());
        return head;
    }

    private void readSnapshot(String file) throws IOException, StoreException {
        byte[] content = disk.read(file, (int) Format.MOST_ALL);
        bytes += content.length;
        Head head = headOf(file, content);
        if (head == null || !head.snapshot() || head.first() != Format.number(file, true)) {
            fault(file, 0, "its head does not check", true);
            return;
        }
        int at = Format.HEAD_BYTES;
        long count = 0;
        List<Entry> entries = new ArrayList<>();
        for (Read r = Format.read(content, at); r != null; r = Format.read(content, at)) {
            at = r.next();
            if (r.kind() == Format.MARK) {
                if (r.sequence() == count && at == content.length) {
                    entries.forEach(replay);
                    last = head.first();
                    return;
                }
                break;
            }
            if (r.sequence() != count) {
                break;
            }
            count++;
            entries.add(new Entry(r.kind(), r.bytes()));
        }
        fault(file, at, "a record of the snapshot does not check", true);
        if (salvage) {
            entries.forEach(replay);
            last = head.first();
        }
    }

    /** Reads a segment; false where it holds nothing and never counted. */
    private boolean readSegment(String file, boolean isLast) throws IOException, StoreException {
        byte[] content = disk.read(file, Format.MOST_SEGMENT);
        Head head = headOf(file, content);
        if (head == null || head.snapshot() || head.first() != Format.number(file, false)) {
            if (isLast && content.length <= Format.HEAD_BYTES && head == null) {
                fault(file, 0, "its head was not whole: it was begun and never used", false);
                droppable.add(file);
                return false;
            }
            fault(file, 0, "its head does not check", true);
            if (!salvage) {
                return true;
            }
        } else if (head.first() > last + 1) {
            fault(
                    file,
                    0,
                    "records "
                            + (last + 1)
                            + " to "
                            + (head.first() - 1)
                            + " before it are missing",
                    true);
            if (!salvage) {
                return true;
            }
            last = head.first() - 1;
        }
        bytes += content.length;
        readRecords(file, content, isLast, head == null ? last + 1 : head.first());
        return true;
    }

    private void readRecords(String file, byte[] content, boolean isLast, long first) {
        long expected = first;
        int at = Format.HEAD_BYTES;
        while (at < content.length) {
            Read r = Format.read(content, at);
            boolean good =
                    r != null
                            && (r.kind() == Format.MARK
                                    ? r.sequence() < expected
                                    : r.sequence() == expected);
            if (!good) {
                Read next = vouched(content, at, expected);
                if (isLast && next == null) {
                    fault(
                            file,
                            at,
                            "the last records were not whole and never acknowledged",
                            false);
                    cutAt = at;
                    return;
                }
                fault(file, at, "record " + expected + " does not check", true);
                if (!salvage) {
                    return;
                }
                r = nextGood(content, at, expected);
                if (r == null) {
                    return;
                }
                expected = r.kind() == Format.MARK ? r.sequence() + 1 : r.sequence();
            }
            if (r.kind() != Format.MARK) {
                if (expected > last) {
                    replay.accept(new Entry(r.kind(), r.bytes()));
                    last = expected;
                }
                expected++;
            }
            at = r.next();
        }
    }

    /**
     * A mark at a place or behind it that says that the record there was forced; null where there
     * is none.
     */
    private static Read vouched(byte[] content, int from, long expected) {
        for (int at = from; at <= content.length - Format.RECORD_HEAD; at++) {
            // A mark is empty: all else is passed over without a sum over what it would hold.
            boolean empty =
                    content[at] == 0
                            && content[at + 1] == 0
                            && content[at + 2] == 0
                            && content[at + 3] == 0;
            Read r = empty ? Format.read(content, at) : null;
            if (r != null && r.kind() == Format.MARK && r.sequence() >= expected) {
                return r;
            }
        }
        return null;
    }

    /** The next thing behind damage that checks and is no older than what is expected. */
    private static Read nextGood(byte[] content, int from, long expected) {
        for (int at = from; at <= content.length - Format.RECORD_HEAD; at++) {
            Read r = Format.read(content, at);
            if (r != null
                    && r.sequence() >= expected
                    && r.sequence() - expected <= Format.MOST_SEGMENT) {
                return r;
            }
        }
        return null;
    }
}
