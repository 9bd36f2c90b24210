package passhatch.distribution;

import java.util.List;

/**
 * Messages between replicas, relays and subscribers. Each carries the epoch of the log. An operator
 * raises the epoch when a new log is initialized, and versions are comparable only within one
 * epoch.
 */
public sealed interface Message {

    /** Epoch of the log, 1 or more. */
    long epoch();

    /** Leader to replica: accept no leader of a lower term, and report the end of the log. */
    record Prepare(long epoch, long term) implements Message {}

    /**
     * Replica to leader: the end of its log.
     *
     * @param promisedTerm the lowest term that the replica still accepts; above {@code term} it has
     *     rejected the request
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
     * New leader to the replica with the most complete log: requests the entries after a version.
     */
    record LogRequest(long epoch, long term, long afterVersion) implements Message {}

    /** Reply to a {@link LogRequest}, with as many entries as fit into a datagram. */
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
     * Leader to replica: entries to append after an entry that both have. Without entries it is a
     * heartbeat.
     *
     * @param committedVersion the newest version known to be on a majority
     * @param stateAgeUs time since a majority last confirmed this leader, in microseconds
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
     * @param term of the leader; if the append was rejected because of its term, the promised term
     * @param accepted whether the logs are identical up to {@code version}
     * @param version of the replica's last entry that matches the leader's log; if rejected, the
     *     version after which the leader should retry
     * @param voting whether the replica counts towards a majority; false if it lost its disk
     */
    record Appended(long epoch, long term, boolean accepted, long version, boolean voting)
            implements Message {}

    /**
     * Leader to a replica whose missing entries are no longer retained: fetch the committed state
     * instead.
     */
    record Behind(long epoch, long term) implements Message {}

    /**
     * Follower to source, sent periodically: reports what the follower has and requests what is
     * newer.
     *
     * @param cursor the last key received of a snapshot in progress; null if there is none
     * @param filter of the keys that the follower subscribes to
     * @param name of the follower, for operators
     */
    record Poll(long epoch, long version, String cursor, ServiceFilter filter, String name)
            implements Message {}

    /** Follower to source: all changes up to this version are applied. */
    record Ack(long epoch, long version) implements Message {}

    /**
     * Source to follower: all changes after one version up to another that the follower subscribes
     * to. A change that a newer one of the same key replaced is left out.
     *
     * @param uptoTerm term of the log entry at {@code upto}
     * @param stateAgeUs time since the source knew its state to be current, in microseconds
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
     * Source to follower that cannot be served by a delta: part of the whole state, in key order.
     *
     * @param version of the source when it sent this part
     * @param afterKeyHash {@link #keyHash} of the key that precedes this part
     * @param last whether this part completes the state
     * @param moreInBurst whether the source sends the next part without a further poll
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
     * Returns a hash that stands for a key where a whole key would not fit; 0 for the empty key.
     */
    static int keyHash(String key) {
        return key.hashCode();
    }
}
