package passhatch.lab.distribution;

import java.util.List;
import passhatch.distribution.DiskRecord;

/** Is told what happens in a simulation, in order. */
public interface Observer {

    /** A process starts, or starts again from its disk. */
    default void started(Node node) {}

    /** A replica is to lead in a new term. */
    default void leaseGranted(Node node) {}

    /** Records are on a node's disk. */
    default void recordsForced(Node node, List<DiskRecord> records) {}

    /** The state in force at a node has reached a version. */
    default void versionApplied(Node node, long epoch, long version) {}

    /** A leader has told that a change which was submitted to it is made. */
    default void commitReported(Node node, long version) {}

    /** A datagram is sent. */
    default void sent(Node from, int bytes) {}

    /** A datagram arrives. */
    default void received(Node to, int bytes) {}
}
