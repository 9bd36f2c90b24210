package passhatch.distribution;

import java.util.List;

/** A record on disk. Replaying all records in order restores the state before a crash. */
public sealed interface DiskRecord {

    /** A replica accepts no leader of a lower term. */
    record Promised(long epoch, long term) implements DiskRecord {}

    /** An operator, or a raised epoch, has let this replica count towards majorities. */
    record Initialized(long epoch) implements DiskRecord {}

    /** A replica has stored this entry and removed all entries at or after its version. */
    record Appended(long epoch, LogEntry entry) implements DiskRecord {}

    /** All entries up to this version are committed. */
    record Committed(long epoch, long version) implements DiskRecord {}

    /** A follower has applied the committed changes up to a version. */
    record Applied(long epoch, long uptoVersion, long uptoTerm, List<LogEntry> entries)
            implements DiskRecord {}

    /**
     * The committed state starts again at this version; the {@link Content} that follows completes
     * it.
     *
     * @param minDeltaVersion version below which followers cannot be served by a delta
     */
    record Reset(long epoch, long version, long versionTerm, long minDeltaVersion)
            implements DiskRecord {}

    /** Part of the state that a {@link Reset} begins. */
    record Content(List<LogEntry> entries) implements DiskRecord {}
}
