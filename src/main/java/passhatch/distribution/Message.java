package passhatch.distribution;

import java.util.List;

/**
 * What replicas, relays and subscribers say to each other. Each message has the epoch of the log:
 * an operator raises it when a log is founded anew, and versions count within an epoch only.
 */
public sealed interface Message {

    /** Epoch of the log, 1 or more. */
    long epoch();

    /** Leader to replica: accept no leader of a lower term, and tell the end of your log. */
    record Prepare(long epoch, long term) implements Message {}

    /**
     * Replica to leader: the end of its log.
     *
     * @param promisedTerm the lowest term that it still accepts; above {@code term} it has refused
     */
    record Prepared(
            long epoch,
            long term,
            long promisedTerm,
            long lastVersion,
            long lastTerm,
            long committed)
            implements Message {}

    /** New leader to the replica with the most complete log: what comes after a version? */
    record LogRequest(long epoch, long term, long after) implements Message {}

    /** The answer, as much as fits. */
    record LogPart(
            long epoch,
            long term,
            long previousVersion,
            long previousTerm,
            long lastVersion,
            List<LogEntry> entries)
            implements Message {

        /** A part whose entries follow each other. */
        public LogPart {
            requireConsecutive(previousVersion, entries);
        }
    }

    /**
     * Leader to replica: entries to append after one that both have, none as a heartbeat.
     *
     * @param committed the newest version known to be on a majority
     * @param ageUs how long ago a majority confirmed this leader, in microseconds
     */
    record Append(
            long epoch,
            long term,
            long committed,
            long ageUs,
            long previousVersion,
            long previousTerm,
            List<LogEntry> entries)
            implements Message {

        /** A message whose entries follow each other. */
        public Append {
            requireConsecutive(previousVersion, entries);
        }
    }

    /**
     * Replica to leader.
     *
     * @param term of the leader; where it was refused for its term, the promised one
     * @param accepted whether the logs are the same up to {@code version}
     * @param version of its last entry that is the leader's; where refused, where to try again
     * @param voting whether it counts towards a majority: not where it lost its disk
     */
    record Appended(long epoch, long term, boolean accepted, long version, boolean voting)
            implements Message {}

    /** Leader to a replica that lacks entries no longer kept: fetch the committed state instead. */
    record Behind(long epoch, long term) implements Message {}

    /**
     * Follower to source, periodically: what it has. It asks for what is newer.
     *
     * @param cursor the last key of a snapshot under way; null where there is none
     * @param filter of the keys that it subscribes to
     * @param name of the follower, for operators
     */
    record Poll(long epoch, long version, String cursor, ServiceFilter filter, String name)
            implements Message {}

    /** Follower to source: in force here up to this version. */
    record Ack(long epoch, long version) implements Message {}

    /**
     * Source to follower: all that has changed after one version up to another and that it
     * subscribes to. A change that a newer one of the same key replaced is left out.
     *
     * @param uptoTerm term of the log entry at {@code upto}
     * @param ageUs how long ago the source knew its state to be current, in microseconds
     */
    record Delta(
            long epoch, long after, long upto, long uptoTerm, long ageUs, List<LogEntry> entries)
            implements Message {}

    /**
     * Source to follower that a delta cannot serve: part of the whole state, in the order of keys.
     *
     * @param version that the source had when it sent this
     * @param afterKeyHash of the key that this part follows on, by {@link #keyHash}
     * @param last whether the state is whole with it
     * @param more whether the next part is sent without being asked for
     */
    record SnapshotPart(
            long epoch,
            long version,
            long versionTerm,
            long ageUs,
            int afterKeyHash,
            boolean last,
            boolean more,
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

    /** A key in the place that a whole one would not fit into; 0 for the empty key. */
    static int keyHash(String key) {
        return key.hashCode();
    }
}
