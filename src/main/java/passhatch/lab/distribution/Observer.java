package passhatch.lab.distribution;

import java.util.List;
import passhatch.distribution.DiskRecord;

/** Observes the events of a simulation, in order. */
public interface Observer {

    /** Called when a process has started or restarted from its disk. */
    default void started(Node node) {}

    /** Called before a replica is granted the lease in a new term. */
    default void leaseGranted(Node node) {}

    /** Called when records have been forced to a node's disk. */
    default void recordsForced(Node node, List<DiskRecord> records) {}

    /** Called when the state applied at a node has reached a version. */
    default void versionApplied(Node node, long epoch, long version) {}

    /** Called when a leader reports a change submitted to it as committed. */
    default void commitReported(Node node, long version) {}

    /** Called when a datagram is sent. */
    default void sent(Node from, int bytes) {}

    /** Called when a datagram arrives. */
    default void received(Node to, int bytes) {}
}
