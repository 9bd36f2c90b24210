package passhatch.distribution;

import java.util.List;

/**
 * A record on the disk of a participant. Replaying all records in order restores the state that the
 * participant had before a crash.
 */
public sealed interface DiskRecord {

    /** The replica has promised to accept no leader of a term below {@code term}. */
    record Promised(long epoch, long term) implements DiskRecord {}

    /**
     * The replica counts towards majorities in this epoch. The record is written when an operator
     * initializes the replica, or when a replica that was initialized in an earlier epoch starts
     * with a higher epoch.
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
     * The follower has applied all committed changes up to {@code uptoVersion}.
     *
     * @param uptoTerm term of the log entry at {@code uptoVersion}
     * @param entries the newly applied changes, without those whose keys the follower does not keep
     */
    record Applied(long epoch, long uptoVersion, long uptoTerm, List<LogEntry> entries)
            implements DiskRecord {}

    /**
     * The committed state is replaced by the state at {@code version}. The {@link Content} records
     * that follow hold the entries of the new state.
     *
     * @param minDeltaVersion minimum version that a follower needs in order to be updated by a
     *     delta; a follower with a lower version needs the whole state
     */
    record Reset(long epoch, long version, long versionTerm, long minDeltaVersion)
            implements DiskRecord {}

    /** Entries of the state that the preceding {@link Reset} record announces. */
    record Content(List<LogEntry> entries) implements DiskRecord {}
}
