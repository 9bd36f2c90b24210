package passhatch.distribution;

import java.util.List;

/** What a participant asks of whoever drives it. */
public interface DistributionActions {

    /** Sends a datagram; it may get lost. */
    void send(String peer, Message message);

    /**
     * Writes records and forces them to disk.
     *
     * @return false where they may not be there; nothing more is trusted of that disk then
     */
    boolean force(List<DiskRecord> records);

    /** The state in force here has reached a newer version. */
    default void versionApplied(long epoch, long version) {}

    /** A change submitted at this leader is committed. */
    default void committed(long version) {}

    /** This leader can lead no longer in this term and gives its lease up. */
    default void stepDown(long term, String reason) {}
}
