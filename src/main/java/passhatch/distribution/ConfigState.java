package passhatch.distribution;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The newest committed entry of each key, up to a version. Deleted keys are kept as tombstones, so
 * that a delta can tell of them; when there are too many, the oldest are dropped, and the floor
 * below which a follower needs the whole state rises.
 */
final class ConfigState {

    private final TreeMap<String, LogEntry> byKey = new TreeMap<>();
    private final TreeMap<Long, LogEntry> byVersion = new TreeMap<>();
    private final TreeMap<Long, LogEntry> tombstones = new TreeMap<>();
    private final int maxTombstones;
    private long version;
    private long term;
    private long floor;

    ConfigState(int maxTombstones) {
        this.maxTombstones = maxTombstones;
    }

    long version() {
        return version;
    }

    /** Term of the log entry at {@link #version}. */
    long term() {
        return term;
    }

    long floor() {
        return floor;
    }

    /** Begins an empty state that stands at a version. */
    void reset(long newVersion, long newTerm, long newFloor) {
        byKey.clear();
        byVersion.clear();
        tombstones.clear();
        version = newVersion;
        term = newTerm;
        floor = newFloor;
    }

    /** Takes one entry, whatever the version is; an older one of its key never replaces a newer. */
    void put(LogEntry entry) {
        if (entry.isNoOperation()) {
            return;
        }
        LogEntry previous = byKey.get(entry.key());
        if (previous != null && previous.version() >= entry.version()) {
            return;
        }
        if (previous != null) {
            byVersion.remove(previous.version());
            tombstones.remove(previous.version());
        }
        byKey.put(entry.key(), entry);
        byVersion.put(entry.version(), entry);
        if (entry.isTombstone()) {
            tombstones.put(entry.version(), entry);
            dropExcessTombstones();
        }
    }

    private void dropExcessTombstones() {
        while (tombstones.size() > maxTombstones) {
            LogEntry oldest = tombstones.pollFirstEntry().getValue();
            byKey.remove(oldest.key());
            byVersion.remove(oldest.version());
            floor = Math.max(floor, oldest.version());
        }
    }

    /** Stands at a version from now on. */
    void advance(long newVersion, long newTerm) {
        version = newVersion;
        term = newTerm;
    }

    /**
     * The newest entries after a version up to that at which the state stands, oldest first. A
     * snapshot that was received while changes were made may have brought some entries beyond it.
     */
    Collection<LogEntry> after(long from) {
        return from >= version ? List.of() : byVersion.subMap(from, false, version, true).values();
    }

    /** Entries beyond a version, oldest first. */
    Collection<LogEntry> beyond(long from) {
        return byVersion.tailMap(from, false).values();
    }

    /** Entries in the order of keys, after one. */
    NavigableMap<String, LogEntry> afterKey(String key) {
        return byKey.tailMap(key, false);
    }

    /** Entries by key, tombstones too. */
    NavigableMap<String, LogEntry> entries() {
        return Collections.unmodifiableNavigableMap(byKey);
    }
}
