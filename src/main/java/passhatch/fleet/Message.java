package passhatch.fleet;

import java.util.List;

/**
 * What one datagram says.
 *
 * @param sequenceNumber answers repeat that of the question; 0 where there is none
 * @param target name of the member that a question is about, or empty
 * @param node of the tree of digests: {@link Digests#ROOT}, an inner node, or a leaf, by the kind
 * @param digests of the node's children; empty but for {@link Type#SYNC}
 * @param sender what the sender says of itself
 * @param updates what it says of others, the most useful first
 */
record Message(
        Type type,
        int sequenceNumber,
        String target,
        int node,
        int[] digests,
        MemberUpdate sender,
        List<MemberUpdate> updates) {

    /** What a datagram is for; their order is part of the format. */
    enum Type {
        /** Wants an {@link #ACK}. */
        PING,
        /** The sender, or the member that it was asked about, is there. */
        ACK,
        /** The member that it was asked about did not answer the sender. */
        NACK,
        /** Wants the sender to ask the target. */
        PING_REQUEST,
        /** Only tells facts. */
        GOSSIP,
        /** Digests of a part of the sender's view; whoever differs answers with what is below. */
        SYNC,
        /** All that the sender has at a leaf; wants what the other has there. */
        LEAF,
        /** What the sender has at a leaf. */
        LEAF_ANSWER
    }
}
