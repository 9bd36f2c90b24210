package passhatch.distribution;

import java.util.List;

/** What is written to disk, in order. Replaying all records gives the state before a crash. */
public sealed interface DiskRecord {

    /** A replica accepts no leader of a lower term. */
    record Promised(long epoch, long term) implements DiskRecord {}

    /** An operator, or a raised epoch, has let this replica count towards majorities. */
    record Initialized(long epoch) implements DiskRecord {}

    /** A replica has this entry, and none after it of what it had before. */
    record Appended(long epoch, LogEntry entry) implements DiskRecord {}

    /** All entries up to this version are committed. */
    record Committed(long epoch, long version) implements DiskRecord {}

    /** Committed changes are in force up to a version. */
    record Applied(long epoch, long upto, long uptoTerm, List<LogEntry> entries)
            implements DiskRecord {}

    /**
     * The committed state begins anew at this version; the {@link Content} that follows completes
     * it.
     *
     * @param floor followers below it cannot be served by a delta
     */
    record Reset(long epoch, long version, long versionTerm, long floor) implements DiskRecord {}

    /** Part of a state that a {@link Reset} began. */
    record Content(List<LogEntry> entries) implements DiskRecord {}
}
