package passhatch.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import passhatch.store.Format.Header;
import passhatch.store.Format.StoredRecord;

/**
 * Reads all files of a store, and distinguishes valid records, incomplete records that were never
 * acknowledged, and damaged records. A reader changes no file, and keeps one file in memory at a
 * time.
 */
final class Reader {

    /**
     * A fault in a file.
     *
     * @param offset position of the fault in the file, in bytes
     * @param maybeAcknowledged whether the data at the fault may have been acknowledged
     */
    record Fault(String file, long offset, String description, boolean maybeAcknowledged) {
        String describe() {
            return file + ", byte " + offset + ": " + description;
        }
    }

    /**
     * What was found in the files of a store.
     *
     * @param lastSequence sequence number of the last valid record; 0 if there is none
     * @param epoch highest epoch in the headers; 0 if there is no valid header
     * @param totalBytes total size of the snapshot and the segments after it
     * @param snapshot name of the current snapshot, or null
     * @param segments names of the current segments, oldest first
     * @param truncateAt size in bytes to which the last segment has to be truncated; -1 if its end
     *     is valid
     * @param obsoleteFiles names of files that are not needed to restore the state
     * @param faults in the order in which they were found; reading stops after a fault in data that
     *     may have been acknowledged, unless the reader was created with {@code salvage}
     */
    record Contents(
            long lastSequence,
            long epoch,
            long totalBytes,
            String snapshot,
            List<String> segments,
            long truncateAt,
            List<String> obsoleteFiles,
            List<Fault> faults) {}

    private final Disk disk;
    private final String owner;
    private final boolean salvage;
    private final Consumer<Entry> replay;
    private final List<Fault> faults = new ArrayList<>();
    private final List<String> obsoleteFiles = new ArrayList<>();
    private long lastSequence;
    private long epoch;
    private long totalBytes;
    private long truncateAt = -1;
    private boolean stopped;

    /**
     * Creates a reader of the store on a disk.
     *
     * @param owner owner that the files must have; null to accept any owner
     * @param salvage whether to continue reading after damage
     * @param replay receives each valid record
     */
    Reader(Disk disk, String owner, boolean salvage, Consumer<Entry> replay) {
        this.disk = disk;
        this.owner = owner;
        this.salvage = salvage;
        this.replay = replay;
    }

    Contents read() throws IOException, StoreException {
        List<String> names = disk.list();
        List<String> snapshots = sortedFiles(names, true);
        List<String> segments = sortedFiles(names, false);
        names.stream().filter(n -> n.endsWith(".new")).forEach(obsoleteFiles::add);
        String snapshot = null;
        if (!snapshots.isEmpty()) {
            snapshot = snapshots.get(snapshots.size() - 1);
            obsoleteFiles.addAll(snapshots.subList(0, snapshots.size() - 1));
            readSnapshot(snapshot);
        }
        while (segments.size() > 1
                && Format.sequenceInName(segments.get(1), false) <= lastSequence + 1) {
            readHeader(segments.get(0), disk.read(segments.get(0), Format.MAX_SEGMENT_BYTES));
            obsoleteFiles.add(segments.remove(0));
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
                lastSequence,
                epoch,
                totalBytes,
                snapshot,
                current,
                truncateAt,
                obsoleteFiles,
                faults);
    }

    private static List<String> sortedFiles(List<String> names, boolean ofSnapshot) {
        return new ArrayList<>(
                names.stream()
                        .filter(n -> Format.sequenceInName(n, ofSnapshot) >= 0)
                        .sorted(Comparator.comparingLong(n -> Format.sequenceInName(n, ofSnapshot)))
                        .toList());
    }

    private void addFault(String file, long offset, String description, boolean maybeAcknowledged) {
        faults.add(new Fault(file, offset, description, maybeAcknowledged));
        stopped |= maybeAcknowledged && !salvage;
    }

    /**
     * Returns the header of a file; null if the header is not valid. If the epoch of the header is
     * higher than {@link #epoch}, that field is raised to it.
     */
    private Header readHeader(String file, byte[] content) throws StoreException {
        Header header = Format.decodeHeader(content);
        if (header == null) {
            return null;
        }
        if (header.version() > Format.VERSION) {
            throw new StoreException.Foreign(
                    file
                            + " has format version "
                            + header.version()
                            + ", and this program "
                            + "supports versions up to "
                            + Format.VERSION);
        }
        if (owner != null && !header.owner().equals(owner)) {
            throw new StoreException.Foreign(
                    file + " belongs to '" + header.owner() + "', not to '" + owner + "'");
        }
        epoch = Math.max(epoch, header.epoch());
        return header;
    }

    private void readSnapshot(String file) throws IOException, StoreException {
        byte[] content = disk.read(file, (int) Format.MAX_TOTAL_BYTES);
        totalBytes += content.length;
        Header header = readHeader(file, content);
        if (header == null
                || !header.snapshot()
                || header.sequence() != Format.sequenceInName(file, true)) {
            addFault(file, 0, "its header does not check", true);
            return;
        }
        int offset = Format.HEADER_BYTES;
        long count = 0;
        List<Entry> entries = new ArrayList<>();
        for (StoredRecord stored = Format.readRecord(content, offset);
                stored != null;
                stored = Format.readRecord(content, offset)) {
            offset = stored.nextOffset();
            if (stored.kind() == Format.MARK_KIND) {
                if (stored.sequence() == count && offset == content.length) {
                    entries.forEach(replay);
                    lastSequence = header.sequence();
                    return;
                }
                break;
            }
            if (stored.sequence() != count) {
                break;
            }
            count++;
            entries.add(new Entry(stored.kind(), stored.bytes()));
        }
        addFault(file, offset, "a record of the snapshot does not check", true);
        if (salvage) {
            entries.forEach(replay);
            lastSequence = header.sequence();
        }
    }

    /**
     * Reads a segment. Returns false if the segment was never used, because its header is
     * incomplete.
     */
    private boolean readSegment(String file, boolean isLast) throws IOException, StoreException {
        byte[] content = disk.read(file, Format.MAX_SEGMENT_BYTES);
        Header header = readHeader(file, content);
        if (header == null
                || header.snapshot()
                || header.sequence() != Format.sequenceInName(file, false)) {
            if (isLast && content.length <= Format.HEADER_BYTES && header == null) {
                addFault(
                        file,
                        0,
                        "its header is incomplete: the file was created and never used",
                        false);
                obsoleteFiles.add(file);
                return false;
            }
            addFault(file, 0, "its header does not check", true);
            if (!salvage) {
                return true;
            }
        } else if (header.sequence() > lastSequence + 1) {
            addFault(
                    file,
                    0,
                    "records "
                            + (lastSequence + 1)
                            + " to "
                            + (header.sequence() - 1)
                            + " before it are missing",
                    true);
            if (!salvage) {
                return true;
            }
            lastSequence = header.sequence() - 1;
        }
        totalBytes += content.length;
        readRecords(file, content, isLast, header == null ? lastSequence + 1 : header.sequence());
        return true;
    }

    private void readRecords(String file, byte[] content, boolean isLast, long firstSequence) {
        long expectedSequence = firstSequence;
        int offset = Format.HEADER_BYTES;
        while (offset < content.length) {
            StoredRecord stored = Format.readRecord(content, offset);
            boolean valid =
                    stored != null
                            && (stored.kind() == Format.MARK_KIND
                                    ? stored.sequence() < expectedSequence
                                    : stored.sequence() == expectedSequence);
            if (!valid) {
                StoredRecord next = findMark(content, offset, expectedSequence);
                if (isLast && next == null) {
                    addFault(
                            file,
                            offset,
                            "the last records are incomplete and were never acknowledged",
                            false);
                    truncateAt = offset;
                    return;
                }
                addFault(file, offset, "record " + expectedSequence + " does not check", true);
                if (!salvage) {
                    return;
                }
                stored = findNextValid(content, offset, expectedSequence);
                if (stored == null) {
                    return;
                }
                expectedSequence =
                        stored.kind() == Format.MARK_KIND
                                ? stored.sequence() + 1
                                : stored.sequence();
            }
            if (stored.kind() != Format.MARK_KIND) {
                if (expectedSequence > lastSequence) {
                    replay.accept(new Entry(stored.kind(), stored.bytes()));
                    lastSequence = expectedSequence;
                }
                expectedSequence++;
            }
            offset = stored.nextOffset();
        }
    }

    /**
     * Returns the first mark that confirms that the expected record was forced to disk; null if
     * there is no such mark.
     *
     * @param from offset at which the search begins
     * @param expectedSequence sequence number of the expected record
     */
    private static StoredRecord findMark(byte[] content, int from, long expectedSequence) {
        for (int offset = from; offset <= content.length - Format.RECORD_HEADER_BYTES; offset++) {
            // A mark has no content, so the search skips records with content without computing
            // their checksums.
            boolean empty =
                    content[offset] == 0
                            && content[offset + 1] == 0
                            && content[offset + 2] == 0
                            && content[offset + 3] == 0;
            StoredRecord stored = empty ? Format.readRecord(content, offset) : null;
            if (stored != null
                    && stored.kind() == Format.MARK_KIND
                    && stored.sequence() >= expectedSequence) {
                return stored;
            }
        }
        return null;
    }

    /**
     * Returns the next valid record or mark after damage whose sequence number is not below the
     * expected one; null if there is none.
     *
     * @param from offset at which the search begins
     * @param expectedSequence sequence number of the expected record
     */
    private static StoredRecord findNextValid(byte[] content, int from, long expectedSequence) {
        for (int offset = from; offset <= content.length - Format.RECORD_HEADER_BYTES; offset++) {
            StoredRecord stored = Format.readRecord(content, offset);
            if (stored != null
                    && stored.sequence() >= expectedSequence
                    && stored.sequence() - expectedSequence <= Format.MAX_SEGMENT_BYTES) {
                return stored;
            }
        }
        return null;
    }
}
