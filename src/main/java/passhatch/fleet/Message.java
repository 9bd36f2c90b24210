package passhatch.fleet;

import java.util.List;

/**
 * The content of one datagram.
 *
 * @param sequenceNumber number that the sender of a request chose and that the replies repeat; 0 if
 *     no reply has to be matched with its request
 * @param target name of the member that a probe or its reply is about, or empty
 * @param node number of a node in the digest tree: {@link Digests#ROOT} or an inner node in a
 *     {@link Type#SYNC}, a leaf in a {@link Type#LEAF} or {@link Type#LEAF_ANSWER}, and 0 in other
 *     messages
 * @param digests digests of the node's children; empty unless the type is {@link Type#SYNC}
 * @param sender the sender's update about itself
 * @param updates updates about other members, the most useful first
 */
record Message(
        Type type,
        int sequenceNumber,
        String target,
        int node,
        int[] digests,
        MemberUpdate sender,
        List<MemberUpdate> updates) {

    /** The type of a message. The order of the types is part of the wire format. */
    enum Type {
        /** Requests an {@link #ACK}. */
        PING,
        /** Confirms that the sender, or the member that the sender was asked to ping, is alive. */
        ACK,
        /** Reports that the member that the sender was asked to ping did not answer. */
        NACK,
        /** Asks the receiver to ping the target. */
        PING_REQUEST,
        /** Carries only updates. */
        GOSSIP,
        /**
         * Carries the digests of the children of one node of the sender's digest tree. For a child
         * that differs, the receiver replies with the digests one level below the child or, if the
         * child is a leaf, with its updates.
         */
        SYNC,
        /**
         * Carries the sender's updates about the members in one leaf of the digest tree, and asks
         * the receiver for the updates that the sender lacks.
         */
        LEAF,
        /** Replies to a {@link #LEAF} with the updates that its sender lacks. */
        LEAF_ANSWER
    }
}
