package passhatch.fleet;

import java.util.List;

/**
 * The content of one datagram.
 *
 * @param sequenceNumber repeated in the replies to a request; 0 if there is none
 * @param target name of the member that a request is about, or empty
 * @param node of the digest tree: {@link Digests#ROOT}, an inner node or a leaf, by message type
 * @param digests of the node's children; empty except for {@link Type#SYNC}
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

    /** Message types; their order is part of the wire format. */
    enum Type {
        /** Requests an {@link #ACK}. */
        PING,
        /** The sender, or the member that it was asked to ping, is alive. */
        ACK,
        /** The member that the sender was asked to ping did not answer. */
        NACK,
        /** Requests that the receiver ping the target. */
        PING_REQUEST,
        /** Carries only updates. */
        GOSSIP,
        /**
         * Digests of a part of the sender's view; the receiver replies with the level below if they
         * differ.
         */
        SYNC,
        /** All updates that the sender has in a leaf; requests the receiver's. */
        LEAF,
        /** Updates that the sender has in a leaf. */
        LEAF_ANSWER
    }
}
