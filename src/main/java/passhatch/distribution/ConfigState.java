package passhatch.distribution;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The newest committed entry of each key, up to a version. Deleted keys are kept as tombstones, so
 * that a delta can include the deletion. When there are too many, the oldest are dropped, and the
 * floor rises: a follower below the floor needs the whole state.
 */
final class ConfigState {

    private final TreeMap<String, LogEntry> entriesByKey = new TreeMap<>();
    private final TreeMap<Long, LogEntry> entriesByVersion = new TreeMap<>();
    private final TreeMap<Long, LogEntry> tombstones = new TreeMap<>();
    private final int maxTombstones;
    private long version;
    private long term;
    private long minDeltaVersion;

    ConfigState(int maxTombstones) {
        this.maxTombstones = maxTombstones;
    }

    long version() {
        return version;
    }

    /** Returns the term of the log entry at {@link #version}. */
    long term() {
        return term;
    }

    long minDeltaVersion() {
        return minDeltaVersion;
    }

    /** Clears the state and sets its version, term and floor. */
    void reset(long newVersion, long newTerm, long newMinDeltaVersion) {
        entriesByKey.clear();
        entriesByVersion.clear();
        tombstones.clear();
        version = newVersion;
        term = newTerm;
        minDeltaVersion = newMinDeltaVersion;
    }

    /**
     * Adds one entry, whatever the state's version is, unless a newer entry of its key is present.
     */
    void putIfNewer(LogEntry entry) {
        if (entry.isNoOperation()) {
            return;
        }
        LogEntry previous = entriesByKey.get(entry.key());
        if (previous != null && previous.version() >= entry.version()) {
            return;
        }
        if (previous != null) {
            entriesByVersion.remove(previous.version());
            tombstones.remove(previous.version());
        }
        entriesByKey.put(entry.key(), entry);
        entriesByVersion.put(entry.version(), entry);
        if (entry.isTombstone()) {
            tombstones.put(entry.version(), entry);
            dropExcessTombstones();
        }
    }

    private void dropExcessTombstones() {
        while (tombstones.size() > maxTombstones) {
            LogEntry oldest = tombstones.pollFirstEntry().getValue();
            entriesByKey.remove(oldest.key());
            entriesByVersion.remove(oldest.version());
            minDeltaVersion = Math.max(minDeltaVersion, oldest.version());
        }
    }

    /** Sets the version that the state has reached. */
    void advanceTo(long newVersion, long newTerm) {
        version = newVersion;
        term = newTerm;
    }

    /**
     * Returns the newest entry of each key changed after a version, up to the state's version,
     * oldest first. Entries beyond the state's version, which a snapshot received during changes
     * may contain, are left out.
     */
    Collection<LogEntry> changesAfter(long afterVersion) {
        return afterVersion >= version
                ? List.of()
                : entriesByVersion.subMap(afterVersion, false, version, true).values();
    }

    /** Returns the entries beyond a version, oldest first. */
    Collection<LogEntry> allEntriesAfter(long afterVersion) {
        return entriesByVersion.tailMap(afterVersion, false).values();
    }

    /** Returns the entries after a key, in key order. */
    NavigableMap<String, LogEntry> entriesAfterKey(String key) {
        return entriesByKey.tailMap(key, false);
    }

    /** Returns the entries by key, including tombstones. */
    NavigableMap<String, LogEntry> entries() {
        return Collections.unmodifiableNavigableMap(entriesByKey);
    }
}
