package passhatch.distribution;

import java.util.ArrayList;
import java.util.List;

/**
 * The part of the replicated log that a replica retains: consecutive entries after a base version.
 * Changes up to the base version are kept only in the committed state.
 */
final class ReplicatedLog {

    private final List<LogEntry> entries = new ArrayList<>();
    private long baseVersion;
    private long baseTerm;

    void reset(long version, long term) {
        entries.clear();
        baseVersion = version;
        baseTerm = term;
    }

    long baseVersion() {
        return baseVersion;
    }

    long lastVersion() {
        return baseVersion + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
    }

    /**
     * Returns the term of the entry at a version.
     *
     * @param version from {@link #baseVersion} to {@link #lastVersion}
     */
    long termAt(long version) {
        return version == baseVersion ? baseTerm : get(version).term();
    }

    /**
     * Returns the entry at a version.
     *
     * @param version above {@link #baseVersion}, up to {@link #lastVersion}
     */
    LogEntry get(long version) {
        return entries.get((int) (version - baseVersion - 1));
    }

    /** Returns the entries after a version that is at least {@link #baseVersion}. */
    List<LogEntry> entriesAfter(long version) {
        return entries.subList((int) (version - baseVersion), entries.size());
    }

    void append(LogEntry entry) {
        if (entry.version() != lastVersion() + 1) {
            throw new IllegalArgumentException(entry + " does not follow " + lastVersion());
        }
        entries.add(entry);
    }

    void truncateAfter(long version) {
        entries.subList((int) (version - baseVersion), entries.size()).clear();
    }

    /** Drops the entries up to and including a version. */
    void trimTo(long version) {
        long term = termAt(version);
        entries.subList(0, (int) (version - baseVersion)).clear();
        baseVersion = version;
        baseTerm = term;
    }
}
