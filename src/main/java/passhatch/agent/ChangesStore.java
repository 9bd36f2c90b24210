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
 * Stores on disk the records of a participant in the distribution of configuration changes. Records
 * that are written together form a group. Either all records of a group are replayed or none: after
 * a crash, a group without its last record is skipped.
 */
final class ChangesStore implements AutoCloseable {

    /**
     * Kind of a log entry whose record forms a group by itself. The next three kinds are for a
     * record of a larger group and give its position in the group.
     */
    private static final int KIND_SINGLE = 1;

    private static final int KIND_FIRST = 2;
    private static final int KIND_MIDDLE = 3;
    private static final int KIND_LAST = 4;

    /**
     * Kind of a log entry that lists, one per line, the services whose keys are stored. Only the
     * stores of subscribers have such an entry.
     */
    private static final int KIND_SERVICES = 5;

    /**
     * When the records collected from a group exceed this size, in bytes, they are forced to disk
     * as one chunk. A larger group is therefore written in several chunks.
     */
    private static final int MAX_FORCED_BYTES = 1 << 20;

    private final RecordLog recordLog;

    /** Names of the services that a subscriber wants, one per line; null for other roles. */
    private final String services;

    private final List<DiskRecord> incompleteGroup = new ArrayList<>();
    private List<DiskRecord> records = new ArrayList<>();
    private String servicesOnDisk;

    private ChangesStore(Disk disk, String name, Role role, Collection<String> services)
            throws StoreException {
        String owner = name + " " + role.name().toLowerCase(Locale.ROOT);
        this.services = role == Role.SUBSCRIBER ? String.join("\n", new TreeSet<>(services)) : null;
        this.recordLog =
                role == Role.REPLICA
                        ? RecordLog.open(disk, owner, this::replay)
                        : RecordLog.openOrSetAside(disk, owner, this::replay);
        incompleteGroup.clear();
        if (this.services != null && !this.services.equals(servicesOnDisk)) {
            records = withoutVersions(records);
            snapshot(records);
        }
    }

    /**
     * Opens the store on a disk.
     *
     * @param services names of the services that a subscriber wants; empty for other roles
     * @throws StoreException if a replica's records are damaged, if the store belongs to another
     *     owner, or if the disk fails
     * @throws IOException if a record cannot be read because a newer release wrote it
     */
    static ChangesStore open(Disk disk, String name, Role role, Collection<String> services)
            throws IOException, StoreException {
        try {
            return new ChangesStore(disk, name, role, services);
        } catch (UnreadableRecordException unreadable) {
            throw new IOException(unreadable.getMessage(), unreadable);
        }
    }

    /** Opens the store in a folder, which is created if it does not exist. */
    static ChangesStore open(Path folder, String name, Role role, Collection<String> services)
            throws IOException, StoreException {
        FolderDisk disk = FolderDisk.open(folder);
        try {
            return open(disk, name, role, services);
        } catch (IOException | StoreException failed) {
            disk.close();
            throw failed;
        }
    }

    /** Thrown if the checksum of a record matches but this program cannot read the record. */
    private static final class UnreadableRecordException extends RuntimeException {
        private static final long serialVersionUID = 1;

        UnreadableRecordException(IOException cause) {
            super("a record on changes cannot be read: " + cause.getMessage(), cause);
        }
    }

    private void replay(Entry entry) {
        if (entry.kind() == KIND_SERVICES) {
            servicesOnDisk = new String(entry.bytes(), StandardCharsets.UTF_8);
            return;
        }
        if (entry.kind() == KIND_SINGLE || entry.kind() == KIND_FIRST) {
            incompleteGroup.clear();
        }
        try {
            incompleteGroup.add(DiskRecordCodec.decode(entry.bytes()));
        } catch (IOException unreadable) {
            throw new UnreadableRecordException(unreadable);
        }
        if (entry.kind() == KIND_SINGLE || entry.kind() == KIND_LAST) {
            records.addAll(incompleteGroup);
            incompleteGroup.clear();
        }
    }

    /**
     * Returns records that hold the same values but give no version of the state. Used when a
     * subscriber's services have changed: its records lack the keys of the added services, so the
     * subscriber must fetch the whole state. It uses the old values until it has received that
     * state.
     */
    private static List<DiskRecord> withoutVersions(List<DiskRecord> records) {
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

    /**
     * Returns the records that were on disk when the store was opened, in the order written. A
     * second call returns an empty list.
     */
    List<DiskRecord> takeRecords() {
        List<DiskRecord> all = records;
        records = List.of();
        return all;
    }

    /** Returns the warnings for the operator that arose when the store was opened. */
    List<String> warnings() {
        return recordLog.warnings();
    }

    /** Makes a group of records durable. After a crash, either all of them are replayed or none. */
    void append(List<DiskRecord> group) throws StoreException {
        List<Entry> chunk = new ArrayList<>();
        int chunkBytes = 0;
        for (int i = 0; i < group.size(); i++) {
            Entry entry =
                    new Entry(kindInGroup(i, group.size()), DiskRecordCodec.encode(group.get(i)));
            chunk.add(entry);
            chunkBytes += entry.bytes().length;
            if (chunkBytes > MAX_FORCED_BYTES) {
                recordLog.append(chunk);
                chunk.clear();
                chunkBytes = 0;
            }
        }
        if (!chunk.isEmpty()) {
            recordLog.append(chunk);
        }
    }

    private static int kindInGroup(int index, int size) {
        if (size == 1) {
            return KIND_SINGLE;
        }
        return index == 0 ? KIND_FIRST : index == size - 1 ? KIND_LAST : KIND_MIDDLE;
    }

    /** Returns whether the log has grown so much that a {@link #snapshot} is worth its cost. */
    boolean isSnapshotDue() {
        return recordLog.isSnapshotDue();
    }

    /** Replaces everything written so far with the given records. */
    void snapshot(List<DiskRecord> state) throws StoreException {
        List<Entry> entries = new ArrayList<>();
        if (services != null) {
            entries.add(new Entry(KIND_SERVICES, services.getBytes(StandardCharsets.UTF_8)));
        }
        state.forEach(
                record -> entries.add(new Entry(KIND_SINGLE, DiskRecordCodec.encode(record))));
        recordLog.writeSnapshot(entries);
    }

    @Override
    public void close() throws StoreException {
        recordLog.close();
    }
}
