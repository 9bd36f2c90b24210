package passhatch.distribution;

import java.util.List;

/** Actions that a {@link Participant} requests from its host, the code that runs it. */
public interface DistributionActions {

    /** Sends a message to a peer as a datagram, which may get lost. */
    void send(String peer, Message message);

    /**
     * Writes records to disk and returns once they are durable.
     *
     * @return false if it is not certain that the records are on disk; the participant then no
     *     longer relies on the disk
     */
    boolean force(List<DiskRecord> records);

    /** Reports that the state that the participant has applied has reached this newer version. */
    default void versionApplied(long epoch, long version) {}

    /**
     * Reports that the change with this version, which was submitted to the leader in this process,
     * is committed.
     */
    default void changeCommitted(long version) {}

    /**
     * Reports that the leader in this process can no longer lead in this term. The host should then
     * release the lease that makes this process the leader.
     */
    default void leaderSteppedDown(long term, String reason) {}
}
