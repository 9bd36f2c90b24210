package passhatch.fleet;

import java.util.List;

/**
 * The content of one datagram.
 *
 * @param sequenceNumber number of a request, which its replies repeat; 0 if no reply needs to be
 *     matched
 * @param target name of the member that a probe or its reply is about, or empty
 * @param node node number in the digest tree; the message type determines whether it is {@link
 *     Digests#ROOT} or an inner node, or a leaf
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
         * Carries digests of a part of the sender's view. Where they differ, the receiver replies
         * with the next lower level of the tree.
         */
        SYNC,
        /**
         * Carries the updates that the sender has in a leaf, and asks the receiver for those that
         * the sender lacks.
         */
        LEAF,
        /** Carries updates of a leaf in reply to {@link #LEAF}. */
        LEAF_ANSWER
    }
}
