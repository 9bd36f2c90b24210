package passhatch.distribution;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The committed state at a version: the newest entry of each key. Deleted keys are kept as
 * tombstones, so that a delta, which contains the changes since a follower's version, can include
 * the deletions. When there are too many tombstones, the oldest are dropped. A delta then lacks the
 * dropped deletions, so a follower with a version below {@link #minDeltaVersion} needs the whole
 * state.
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

    /**
     * Removes all entries and sets the version of the state, the term of that version, and the
     * minimum version that a follower needs in order to be updated by a delta.
     */
    void reset(long newVersion, long newTerm, long newMinDeltaVersion) {
        entriesByKey.clear();
        entriesByVersion.clear();
        tombstones.clear();
        version = newVersion;
        term = newTerm;
        minDeltaVersion = newMinDeltaVersion;
    }

    /**
     * Adds one entry, unless the state already has an entry of the same key with the same or a
     * higher version. This method does not change the version of the state.
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

    /** Sets the version that the state has reached, and the term of that version. */
    void advanceTo(long newVersion, long newTerm) {
        version = newVersion;
        term = newTerm;
    }

    /**
     * Returns the entries with versions above the given one and up to the state's version, oldest
     * first. An entry above the state's version is left out; a snapshot that was received during
     * changes may contain such entries.
     */
    Collection<LogEntry> changesAfter(long afterVersion) {
        return afterVersion >= version
                ? List.of()
                : entriesByVersion.subMap(afterVersion, false, version, true).values();
    }

    /**
     * Returns the entries with versions above the given one, oldest first, including those above
     * the state's version.
     */
    Collection<LogEntry> allEntriesAfter(long afterVersion) {
        return entriesByVersion.tailMap(afterVersion, false).values();
    }

    /** Returns the entries whose keys sort after the given key, in key order. */
    NavigableMap<String, LogEntry> entriesAfterKey(String key) {
        return entriesByKey.tailMap(key, false);
    }

    /** Returns all entries by key, including tombstones. */
    NavigableMap<String, LogEntry> entries() {
        return Collections.unmodifiableNavigableMap(entriesByKey);
    }
}
