package passhatch.distribution;

import java.util.List;

/** Actions that a participant requests from its host. */
public interface DistributionActions {

    /** Sends a datagram, which may get lost. */
    void send(String peer, Message message);

    /**
     * Writes records and forces them to disk.
     *
     * @return false if they may not be on disk; the participant does not trust that disk afterwards
     */
    boolean force(List<DiskRecord> records);

    /** Reports that the applied state has reached a newer version. */
    default void versionApplied(long epoch, long version) {}

    /** Reports that a change submitted at this leader is committed. */
    default void changeCommitted(long version) {}

    /** Reports that this leader cannot lead in this term any more and releases its lease. */
    default void leaderSteppedDown(long term, String reason) {}
}
