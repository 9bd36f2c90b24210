package passhatch.lab.distribution;

import java.util.NavigableMap;
import java.util.TreeMap;
import passhatch.distribution.DiskRecord;
import passhatch.distribution.LogEntry;

/**
 * The log on a replica's disk. It is derived from the records that the replica has forced to disk.
 * The product's code is not used for this, so that the product can be checked against the result.
 */
final class ReplicaDiskView {

    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private long baseVersion;

    /** Applies a record. Returns the entries that the record removes from the log. */
    NavigableMap<Long, LogEntry> apply(DiskRecord record) {
        NavigableMap<Long, LogEntry> removed = new TreeMap<>();
        if (record instanceof DiskRecord.Appended of) {
            removed.putAll(entries.tailMap(of.entry().version(), true));
            entries.keySet().removeAll(removed.keySet());
            entries.put(of.entry().version(), of.entry());
            removed.remove(of.entry().version(), of.entry());
        } else if (record instanceof DiskRecord.Reset of) {
            removed.putAll(entries.tailMap(of.version(), false));
            entries.clear();
            baseVersion = of.version();
        }
        return removed;
    }

    /**
     * Returns whether the state with which the log begins covers a version. If it does, the log has
     * no entry for that version.
     */
    boolean isInBase(long version) {
        return version <= baseVersion;
    }

    LogEntry get(long version) {
        return entries.get(version);
    }

    boolean hasEntry(LogEntry entry) {
        return isInBase(entry.version()) || entry.equals(entries.get(entry.version()));
    }

    long lastVersion() {
        return entries.isEmpty() ? baseVersion : entries.lastKey();
    }
}
