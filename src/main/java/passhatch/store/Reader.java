package passhatch.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import passhatch.store.Format.Header;
import passhatch.store.Format.StoredRecord;

/**
 * Reads all that a folder holds and tells what is good, what was never acknowledged, and what is
 * damaged. Changes nothing. One file is held at a time.
 */
final class Reader {

    /**
     * What is wrong with one place; {@code acknowledged} where it may have been promised to
     * somebody.
     */
    record Fault(String file, long offset, String description, boolean acknowledged) {
        String text() {
            return file + ", byte " + offset + ": " + description;
        }
    }

    /**
     * What was found.
     *
     * @param lastSequence sequence number of the last good record; 0 where there is none
     * @param epoch the greatest of all heads; 0 where there is none
     * @param bytes of the snapshot and the segments after it
     * @param snapshot name of the one that counts, or null
     * @param segments names of those that count, in their order
     * @param truncateAt size that the last segment is to be cut down to; -1 where it ends well
     * @param obsolete names of files that do not count any more, or never did
     * @param faults in the order they were found; where one is of what was acknowledged, the rest
     *     is not read
     */
    record Contents(
            long lastSequence,
            long epoch,
            long bytes,
            String snapshot,
            List<String> segments,
            long truncateAt,
            List<String> obsolete,
            List<Fault> faults) {}

    private final Disk disk;
    private final String owner;
    private final boolean salvage;
    private final Consumer<Entry> replay;
    private final List<Fault> faults = new ArrayList<>();
    private final List<String> obsolete = new ArrayList<>();
    private long lastSequence;
    private long epoch;
    private long bytes;
    private long truncateAt = -1;
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

    Contents read() throws IOException, StoreException {
        List<String> names = disk.list();
        List<String> snapshots = sorted(names, true);
        List<String> segments = sorted(names, false);
        names.stream().filter(n -> n.endsWith(".new")).forEach(obsolete::add);
        String snapshot = null;
        if (!snapshots.isEmpty()) {
            snapshot = snapshots.get(snapshots.size() - 1);
            obsolete.addAll(snapshots.subList(0, snapshots.size() - 1));
            readSnapshot(snapshot);
        }
        while (segments.size() > 1
                && Format.fileNumber(segments.get(1), false) <= lastSequence + 1) {
            readHeader(segments.get(0), disk.read(segments.get(0), Format.MAX_SEGMENT_BYTES));
            obsolete.add(segments.remove(0));
        }
        if (snapshot != null && segments.isEmpty()) {
            addFault(snapshot, 0, "the segment after it is missing", true);
        }
        List<String> current = new ArrayList<>();
        for (int i = 0; i < segments.size() && !stopped; i++) {
            if (readSegment(segments.get(i), i == segments.size() - 1)) {
                current.add(segments.get(i));
            }
        }
        return new Contents(
                lastSequence, epoch, bytes, snapshot, current, truncateAt, obsolete, faults);
    }

    private static List<String> sorted(List<String> names, boolean ofSnapshot) {
        return new ArrayList<>(
                names.stream()
                        .filter(n -> Format.fileNumber(n, ofSnapshot) >= 0)
                        .sorted(Comparator.comparingLong(n -> Format.fileNumber(n, ofSnapshot)))
                        .toList());
    }

    private void addFault(String file, long offset, String description, boolean acknowledged) {
        faults.add(new Fault(file, offset, description, acknowledged));
        stopped |= acknowledged && !salvage;
    }

    /** The head of a file, with its epoch taken note of; null where it does not check. */
    private Header readHeader(String file, byte[] content) throws StoreException {
        Header head = Format.decodeHeader(content);
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
        byte[] content = disk.read(file, (int) Format.MAX_TOTAL_BYTES);
        bytes += content.length;
        Header head = readHeader(file, content);
        if (head == null || !head.snapshot() || head.sequence() != Format.fileNumber(file, true)) {
            addFault(file, 0, "its head does not check", true);
            return;
        }
        int offset = Format.HEADER_BYTES;
        long count = 0;
        List<Entry> entries = new ArrayList<>();
        for (StoredRecord record = Format.readRecord(content, offset);
                record != null;
                record = Format.readRecord(content, offset)) {
            offset = record.next();
            if (record.kind() == Format.MARK) {
                if (record.sequence() == count && offset == content.length) {
                    entries.forEach(replay);
                    lastSequence = head.sequence();
                    return;
                }
                break;
            }
            if (record.sequence() != count) {
                break;
            }
            count++;
            entries.add(new Entry(record.kind(), record.bytes()));
        }
        addFault(file, offset, "a record of the snapshot does not check", true);
        if (salvage) {
            entries.forEach(replay);
            lastSequence = head.sequence();
        }
    }

    /** Reads a segment; false where it holds nothing and never counted. */
    private boolean readSegment(String file, boolean isLast) throws IOException, StoreException {
        byte[] content = disk.read(file, Format.MAX_SEGMENT_BYTES);
        Header head = readHeader(file, content);
        if (head == null || head.snapshot() || head.sequence() != Format.fileNumber(file, false)) {
            if (isLast && content.length <= Format.HEADER_BYTES && head == null) {
                addFault(file, 0, "its head was not whole: it was begun and never used", false);
                obsolete.add(file);
                return false;
            }
            addFault(file, 0, "its head does not check", true);
            if (!salvage) {
                return true;
            }
        } else if (head.sequence() > lastSequence + 1) {
            addFault(
                    file,
                    0,
                    "records "
                            + (lastSequence + 1)
                            + " to "
                            + (head.sequence() - 1)
                            + " before it are missing",
                    true);
            if (!salvage) {
                return true;
            }
            lastSequence = head.sequence() - 1;
        }
        bytes += content.length;
        readRecords(file, content, isLast, head == null ? lastSequence + 1 : head.sequence());
        return true;
    }

    private void readRecords(String file, byte[] content, boolean isLast, long first) {
        long expected = first;
        int offset = Format.HEADER_BYTES;
        while (offset < content.length) {
            StoredRecord record = Format.readRecord(content, offset);
            boolean valid =
                    record != null
                            && (record.kind() == Format.MARK
                                    ? record.sequence() < expected
                                    : record.sequence() == expected);
            if (!valid) {
                StoredRecord next = findMark(content, offset, expected);
                if (isLast && next == null) {
                    addFault(
                            file,
                            offset,
                            "the last records were not whole and never acknowledged",
                            false);
                    truncateAt = offset;
                    return;
                }
                addFault(file, offset, "record " + expected + " does not check", true);
                if (!salvage) {
                    return;
                }
                record = findNextValid(content, offset, expected);
                if (record == null) {
                    return;
                }
                expected = record.kind() == Format.MARK ? record.sequence() + 1 : record.sequence();
            }
            if (record.kind() != Format.MARK) {
                if (expected > lastSequence) {
                    replay.accept(new Entry(record.kind(), record.bytes()));
                    lastSequence = expected;
                }
                expected++;
            }
            offset = record.next();
        }
    }

    /**
     * A mark at a place or behind it that says that the record there was forced; null where there
     * is none.
     */
    private static StoredRecord findMark(byte[] content, int from, long expected) {
        for (int offset = from; offset <= content.length - Format.RECORD_HEADER_BYTES; offset++) {
            // A mark is empty: all else is passed over without a sum over what it would hold.
            boolean empty =
                    content[offset] == 0
                            && content[offset + 1] == 0
                            && content[offset + 2] == 0
                            && content[offset + 3] == 0;
            StoredRecord record = empty ? Format.readRecord(content, offset) : null;
            if (record != null && record.kind() == Format.MARK && record.sequence() >= expected) {
                return record;
            }
        }
        return null;
    }

    /** The next thing behind damage that checks and is no older than what is expected. */
    private static StoredRecord findNextValid(byte[] content, int from, long expected) {
        for (int offset = from; offset <= content.length - Format.RECORD_HEADER_BYTES; offset++) {
            StoredRecord record = Format.readRecord(content, offset);
            if (record != null
                    && record.sequence() >= expected
                    && record.sequence() - expected <= Format.MAX_SEGMENT_BYTES) {
                return record;
            }
        }
        return null;
    }
}
