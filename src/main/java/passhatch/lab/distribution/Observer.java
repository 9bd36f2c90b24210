package passhatch.lab.distribution;

import java.util.List;
import passhatch.distribution.DiskRecord;

/** Listener for the events of a simulation, which are reported in order. */
public interface Observer {

    /** Called when a process has started or restarted from the records on its disk. */
    default void started(Node node) {}

    /** Called before a replica is granted the lease in a new term. */
    default void leaseGranted(Node node) {}

    /** Called when records have been forced to a node's disk. */
    default void recordsForced(Node node, List<DiskRecord> records) {}

    /** Called when a node has applied all changes up to a version. */
    default void versionApplied(Node node, long epoch, long version) {}

    /** Called when a leader reports that a change submitted to it is committed. */
    default void commitReported(Node node, long version) {}

    /** Called when a datagram is sent. */
    default void sent(Node from, int bytes) {}

    /** Called when a datagram arrives. */
    default void received(Node to, int bytes) {}
}
