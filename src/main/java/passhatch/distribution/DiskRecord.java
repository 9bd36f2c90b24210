package passhatch.distribution;

import java.util.List;

/**
 * A record on the disk of a participant. Replaying all records in order restores the state that the
 * participant had before a crash.
 */
public sealed interface DiskRecord {

    /** The replica has promised to accept no leader of a lower term. */
    record Promised(long epoch, long term) implements DiskRecord {}

    /**
     * The replica counts towards majorities, because an operator initialized it or because the
     * epoch was raised.
     */
    record Initialized(long epoch) implements DiskRecord {}

    /**
     * The replica has removed all entries at or after the version of this entry, and has then
     * stored this entry.
     */
    record Appended(long epoch, LogEntry entry) implements DiskRecord {}

    /** All entries up to this version are committed. */
    record Committed(long epoch, long version) implements DiskRecord {}

    /**
     * The follower has applied all committed changes up to a version; {@code entries} are the ones
     * that it keeps.
     */
    record Applied(long epoch, long uptoVersion, long uptoTerm, List<LogEntry> entries)
            implements DiskRecord {}

    /**
     * The committed state is replaced by the state at this version; the {@link Content} records
     * that follow hold its entries.
     *
     * @param minDeltaVersion minimum version of a follower that a delta can serve
     */
    record Reset(long epoch, long version, long versionTerm, long minDeltaVersion)
            implements DiskRecord {}

    /** Entries of the state that the preceding {@link Reset} begins. */
    record Content(List<LogEntry> entries) implements DiskRecord {}
}
