package passhatch.agent;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import passhatch.distribution.DiskRecord;
import passhatch.distribution.DiskRecordCodec;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.store.Disk;
import passhatch.store.Entry;
import passhatch.store.FolderDisk;
import passhatch.store.RecordLog;
import passhatch.store.StoreException;

/**
 * The disk of a participant in the distribution of changes. Records that were written together are
 * replayed together or not at all: what a crash left of a group without its last record is passed
 * over.
 */
final class ChangesStore implements AutoCloseable {

    /** Kinds of entries: a record alone, or its place in a group of several. */
    private static final int SINGLE = 1;

    private static final int FIRST = 2;
    private static final int MIDDLE = 3;
    private static final int LAST = 4;

    /** The services whose keys the records cover, one a line; of subscribers only. */
    private static final int SERVICES = 5;

    /** Bytes of records that are forced at once; a larger group is written in several parts. */
    private static final int MAX_FORCED_BYTES = 1 << 20;

    private final RecordLog log;

    /** One a line; null for other roles than a subscriber's. */
    private final String services;

    private final List<DiskRecord> incomplete = new ArrayList<>();
    private List<DiskRecord> records = new ArrayList<>();
    private String servicesOnDisk;

    private ChangesStore(Disk disk, String name, Role role, Collection<String> services)
            throws StoreException {
        String owner = name + " " + role.name().toLowerCase(Locale.ROOT);
        this.services = role == Role.SUBSCRIBER ? String.join("\n", new TreeSet<>(services)) : null;
        this.log =
                role == Role.REPLICA
                        ? RecordLog.open(disk, owner, this::replay)
                        : RecordLog.openOrSetAside(disk, owner, this::replay);
        incomplete.clear();
        if (this.services != null && !this.services.equals(servicesOnDisk)) {
            records = forOtherServices(records);
            snapshot(records);
        }
    }

    /**
     * Opens the store.
     *
     * @param services that a subscriber wants; empty for other roles
     * @throws StoreException where a replica's records are damaged, where they are another owner's,
     *     or the disk fails
     * @throws IOException where a record cannot be read, as it is a newer program's
     */
    static ChangesStore open(Disk disk, String name, Role role, Collection<String> services)
            throws IOException, StoreException {
        try {
            return new ChangesStore(disk, name, role, services);
        } catch (UnreadableRecord unreadable) {
            throw new IOException(unreadable.getMessage(), unreadable);
        }
    }

    /** The same in a folder, which is made where it is not there. */
    static ChangesStore open(Path folder, String name, Role role, Collection<String> services)
            throws IOException, StoreException {
        FolderDisk disk = FolderDisk.take(folder);
        try {
            return open(disk, name, role, services);
        } catch (IOException | StoreException failed) {
            disk.close();
            throw failed;
        }
    }

    /** A record whose checksum is right, but which this program cannot read. */
    private static final class UnreadableRecord extends RuntimeException {
        private static final long serialVersionUID = 1;

        UnreadableRecord(IOException cause) {
            super("a record on changes cannot be read: " + cause.getMessage(), cause);
        }
    }

    private void replay(Entry entry) {
        if (entry.kind() == SERVICES) {
            servicesOnDisk = new String(entry.bytes(), StandardCharsets.UTF_8);
            return;
        }
        if (entry.kind() == SINGLE || entry.kind() == FIRST) {
            incomplete.clear();
        }
        try {
            incomplete.add(DiskRecordCodec.decode(entry.bytes()));
        } catch (IOException unreadable) {
            throw new UnreadableRecord(unreadable);
        }
        if (entry.kind() == SINGLE || entry.kind() == LAST) {
            records.addAll(incomplete);
            incomplete.clear();
        }
    }

    /**
     * What the records say of values, without their versions: the keys of further services were
     * passed over, so the whole state is needed. The old values serve until it is there.
     */
    private static List<DiskRecord> forOtherServices(List<DiskRecord> records) {
        List<DiskRecord> values = new ArrayList<>();
        for (DiskRecord record : records) {
            if (record instanceof DiskRecord.Reset) {
                values.add(new DiskRecord.Reset(0, 0, 0, 0));
            } else if (record instanceof DiskRecord.Applied of) {
                values.add(new DiskRecord.Content(of.entries()));
            } else {
                values.add(record);
            }
        }
        return values;
    }

    /** What was on disk when it was opened, in the order written; to be had once. */
    List<DiskRecord> takeRecords() {
        List<DiskRecord> all = records;
        records = List.of();
        return all;
    }

    /** What opening had to note. */
    List<String> notes() {
        return log.notes();
    }

    /** Returns once all of these records are on disk; after a crash all of them count, or none. */
    void append(List<DiskRecord> group) throws StoreException {
        List<Entry> part = new ArrayList<>();
        int bytes = 0;
        for (int i = 0; i < group.size(); i++) {
            Entry entry = new Entry(kind(i, group.size()), DiskRecordCodec.encode(group.get(i)));
            part.add(entry);
            bytes += entry.bytes().length;
            if (bytes > MAX_FORCED_BYTES) {
                log.append(part);
                part.clear();
                bytes = 0;
            }
        }
        if (!part.isEmpty()) {
            log.append(part);
        }
    }

    private static int kind(int index, int size) {
        if (size == 1) {
            return SINGLE;
        }
        return index == 0 ? FIRST : index == size - 1 ? LAST : MIDDLE;
    }

    /** Whether so much was written that {@link #snapshot} is worth its cost. */
    boolean wantsSnapshot() {
        return log.wantsSnapshot();
    }

    /** Puts records in the place of all that was written so far. */
    void snapshot(List<DiskRecord> state) throws StoreException {
        List<Entry> entries = new ArrayList<>();
        if (services != null) {
            entries.add(new Entry(SERVICES, services.getBytes(StandardCharsets.UTF_8)));
        }
        state.forEach(record -> entries.add(new Entry(SINGLE, DiskRecordCodec.encode(record))));
        log.snapshot(entries);
    }

    @Override
    public void close() throws StoreException {
        log.close();
    }
}
