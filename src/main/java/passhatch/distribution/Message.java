package passhatch.distribution;

import java.util.List;

/**
 * A message between replicas, relays or subscribers. Each message contains the epoch of the log. An
 * operator raises the epoch to initialize a new log, so versions are comparable only within one
 * epoch.
 */
public sealed interface Message {

    /**
     * Returns the epoch of the log; 1 or more, or 0 if the sender is a follower that has no state
     * yet.
     */
    long epoch();

    /**
     * Leader to replica: asks the replica to promise that it accepts no leader of a lower term, and
     * to report the end of its log.
     */
    record Prepare(long epoch, long term) implements Message {}

    /**
     * Replica to leader: reports the end of the replica's log, as the reply to a {@link Prepare}.
     *
     * @param term term of the {@link Prepare}
     * @param promisedTerm the lowest term that the replica accepts; the replica has rejected the
     *     request if this is above {@code term}
     * @param committedVersion the highest version that the replica knows to be committed
     */
    record Prepared(
            long epoch,
            long term,
            long promisedTerm,
            long lastVersion,
            long lastTerm,
            long committedVersion)
            implements Message {}

    /**
     * New leader to the replica with the most complete log: requests the log entries after a
     * version.
     */
    record LogRequest(long epoch, long term, long afterVersion) implements Message {}

    /**
     * Replica to new leader: the reply to a {@link LogRequest}, with as many entries as fit into a
     * datagram.
     */
    record LogPart(
            long epoch,
            long term,
            long previousVersion,
            long previousTerm,
            long lastVersion,
            List<LogEntry> entries)
            implements Message {

        /** Checks that the versions of the entries are consecutive. */
        public LogPart {
            requireConsecutive(previousVersion, entries);
        }
    }

    /**
     * Leader to replica: entries to append after an entry that leader and replica both have. A
     * message without entries is a heartbeat.
     *
     * @param committedVersion the highest version that the leader knows to be committed
     * @param stateAgeUs time since a majority last confirmed the leader, in microseconds
     */
    record Append(
            long epoch,
            long term,
            long committedVersion,
            long stateAgeUs,
            long previousVersion,
            long previousTerm,
            List<LogEntry> entries)
            implements Message {

        /** Checks that the versions of the entries are consecutive. */
        public Append {
            requireConsecutive(previousVersion, entries);
        }
    }

    /**
     * Replica to leader: the reply to an {@link Append}.
     *
     * @param term term of the {@link Append}; if the append was rejected because that term is too
     *     low, the term that the replica has promised
     * @param accepted true if the replica has the entries of the append in its log; the log is then
     *     identical to the leader's log up to {@code version}
     * @param version if accepted, the version of the last entry that matches the leader's log; if
     *     rejected, the version after which the leader should retry
     * @param voting whether the replica counts towards majorities; false if it was never
     *     initialized or has lost its disk
     */
    record Appended(long epoch, long term, boolean accepted, long version, boolean voting)
            implements Message {}

    /**
     * Replica to replica: the sender no longer retains the log entries that the receiver lacks, so
     * the receiver has to fetch the committed state instead.
     */
    record Behind(long epoch, long term) implements Message {}

    /**
     * Follower to source, sent periodically: reports the version that the follower has and requests
     * newer changes.
     *
     * @param cursor key of the last entry that the follower has received of an incomplete snapshot;
     *     null if there is no such entry
     * @param filter accepts the keys that the follower subscribes to
     * @param name name of the follower, which is shown to operators
     */
    record Poll(long epoch, long version, String cursor, ServiceFilter filter, String name)
            implements Message {}

    /** Follower to source: the follower has applied all changes up to this version. */
    record Ack(long epoch, long version) implements Message {}

    /**
     * Source to follower: the changes above the version {@code afterVersion} and up to the version
     * {@code uptoVersion}, for the keys that the follower subscribes to. Only the newest change of
     * each key is included.
     *
     * @param uptoTerm term of the log entry at {@code uptoVersion}
     * @param stateAgeUs time since the state of the source was last known to be current, in
     *     microseconds
     */
    record Delta(
            long epoch,
            long afterVersion,
            long uptoVersion,
            long uptoTerm,
            long stateAgeUs,
            List<LogEntry> entries)
            implements Message {}

    /**
     * Source to a follower that a delta cannot serve: one part of the whole state. The parts are
     * sent in key order.
     *
     * @param version version of the source's state when it sent this part
     * @param versionTerm term of the log entry at {@code version}
     * @param stateAgeUs time since the state of the source was last known to be current, in
     *     microseconds
     * @param afterKeyHash {@link #keyHash} of the last key before this part
     * @param last whether this is the last part of the whole state
     * @param moreInBurst whether the source sends the next part without waiting for another poll
     */
    record SnapshotPart(
            long epoch,
            long version,
            long versionTerm,
            long stateAgeUs,
            int afterKeyHash,
            boolean last,
            boolean moreInBurst,
            List<LogEntry> entries)
            implements Message {}

    private static void requireConsecutive(long previousVersion, List<LogEntry> entries) {
        long expected = previousVersion;
        for (LogEntry entry : entries) {
            if (entry.version() != ++expected) {
                throw new IllegalArgumentException("entries do not follow " + previousVersion);
            }
        }
    }

    /**
     * Returns a hash of a key, for messages that have no room for the whole key; 0 for the empty
     * key.
     */
    static int keyHash(String key) {
        return key.hashCode();
    }
}
