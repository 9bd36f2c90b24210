package passhatch.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Reconciles the views of two processes that still differ after gossip. The processes compare their
 * {@linkplain Digests digest trees} from the root downwards. For each leaf that differs, they send
 * each other their updates about the members in that leaf. A process keeps no record of the earlier
 * datagrams of a comparison: a reply depends only on the datagram that it answers and on the view.
 */
final class AntiEntropy {

    /**
     * Maximum number of differing children of a tree node for which a process replies to one
     * datagram. Without this limit, one datagram could cause hundreds of replies.
     */
    private static final int MAX_CHILDREN_PER_REPLY = 4;

    /**
     * After a comparison has found a difference, views are compared at the short interval until
     * this process has started this many comparisons. There are several because datagrams get lost.
     */
    private static final int COMPARISONS_AFTER_DIFFERENCE = 8;

    private final View view;
    private final Outbox outbox;
    private final RandomGenerator random;
    private int eagerComparisonsLeft;

    AntiEntropy(View view, Outbox outbox, RandomGenerator random) {
        this.view = view;
        this.outbox = outbox;
        this.random = random;
    }

    /**
     * Starts a comparison of this process's view with that of one member. Returns true if the next
     * comparison is due soon because a recent one found a difference.
     */
    boolean startComparison(Member peer) {
        outbox.sendSync(
                peer.addressIndex(), Digests.ROOT, view.digests().childDigests(Digests.ROOT));
        eagerComparisonsLeft = Math.max(0, eagerComparisonsLeft - 1);
        return eagerComparisonsLeft > 0;
    }

    /**
     * Compares the digests that another process sent for the children of a tree node with this
     * process's digests. Sends a reply for each child that differs, up to {@link
     * #MAX_CHILDREN_PER_REPLY}.
     */
    void onDigests(int senderIndex, int node, int[] digests) {
        int[] ownDigests = view.digests().childDigests(node);
        List<Integer> different = new ArrayList<>();
        for (int i = 0; i < ownDigests.length; i++) {
            if (ownDigests[i] != digests[i]) {
                different.add(i);
            }
        }
        if (!different.isEmpty()) {
            eagerComparisonsLeft = COMPARISONS_AFTER_DIFFERENCE;
        }
        while (different.size() > MAX_CHILDREN_PER_REPLY) {
            Collections.swap(different, random.nextInt(different.size()), different.size() - 1);
            different.remove(different.size() - 1);
        }
        for (int child : different) {
            if (node == Digests.ROOT) {
                outbox.sendSync(senderIndex, child, view.digests().childDigests(child));
            } else {
                int leaf = node * Digests.CHILDREN_PER_NODE + child;
                outbox.sendLeaf(
                        senderIndex, Message.Type.LEAF, leaf, updatesAtLeaf(leaf, List.of()));
            }
        }
    }

    /**
     * Handles the updates about the members in one leaf that another process sent: replies with the
     * updates that the other process lacks. The received updates must already be applied to the
     * view.
     */
    void onLeaf(int senderIndex, int leaf, List<MemberUpdate> receivedUpdates) {
        List<MemberUpdate> missing = updatesAtLeaf(leaf, receivedUpdates);
        if (!missing.isEmpty()) {
            outbox.sendLeaf(senderIndex, Message.Type.LEAF_ANSWER, leaf, missing);
        }
    }

    private List<MemberUpdate> updatesAtLeaf(int leaf, List<MemberUpdate> peerUpdates) {
        List<MemberUpdate> updates = new ArrayList<>();
        for (Member member : view.membersOfLeaf(leaf)) {
            boolean peerHasUpdate =
                    peerUpdates.stream()
                            .anyMatch(
                                    update ->
                                            update.name().equals(member.name())
                                                    && update.incarnation()
                                                            .equals(
                                                                    member.lastUpdate()
                                                                            .incarnation())
                                                    && update.status() == member.status());
            if (!peerHasUpdate) {
                // The order is random, so each update is sent eventually even if not all of them
                // fit.
                updates.add(random.nextInt(updates.size() + 1), member.lastUpdate());
            }
        }
        return updates;
    }
}
