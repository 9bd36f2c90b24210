package passhatch.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Brings views together that news did not: two processes compare digests from the root downwards
 * and tell each other what is at the leaves where they differ. Each answer follows from the one
 * datagram it answers.
 */
final class AntiEntropy {

    /**
     * Children that are followed up at a time, so that one datagram does not bring hundreds back.
     */
    private static final int MAX_CHILDREN_PER_REPLY = 4;

    /** Comparisons in quick order after one that found a difference: some datagrams get lost. */
    private static final int EAGER_ROUNDS = 8;

    private final View view;
    private final Outbox outbox;
    private final RandomGenerator random;
    private int eagerRoundsLeft;

    AntiEntropy(View view, Outbox outbox, RandomGenerator random) {
        this.view = view;
        this.outbox = outbox;
        this.random = random;
    }

    /**
     * Begins with one member; returns whether to do so again soon, as a difference was found
     * lately.
     */
    boolean start(Member peer) {
        outbox.sendSync(peer.addressIndex(), Digests.ROOT, view.digests().children(Digests.ROOT));
        eagerRoundsLeft = Math.max(0, eagerRoundsLeft - 1);
        return eagerRoundsLeft > 0;
    }

    /** Somebody's digests of a node. */
    void onDigests(int senderIndex, int node, int[] digests) {
        int[] ownDigests = view.digests().children(node);
        List<Integer> different = new ArrayList<>();
        for (int i = 0; i < ownDigests.length; i++) {
            if (ownDigests[i] != digests[i]) {
                different.add(i);
            }
        }
        if (!different.isEmpty()) {
            eagerRoundsLeft = EAGER_ROUNDS;
        }
        while (different.size() > MAX_CHILDREN_PER_REPLY) {
            Collections.swap(different, random.nextInt(different.size()), different.size() - 1);
            different.remove(different.size() - 1);
        }
        for (int child : different) {
            if (node == Digests.ROOT) {
                outbox.sendSync(senderIndex, child, view.digests().children(child));
            } else {
                int leaf = node * Digests.CHILDREN + child;
                outbox.sendLeaf(
                        senderIndex, Message.Type.LEAF, leaf, updatesAtLeaf(leaf, List.of()));
            }
        }
    }

    /** Somebody's facts at a leaf, which were heard already: tells what they do not have. */
    void onLeaf(int senderIndex, int leaf, List<MemberUpdate> receivedUpdates) {
        List<MemberUpdate> missing = updatesAtLeaf(leaf, receivedUpdates);
        if (!missing.isEmpty()) {
            outbox.sendLeaf(senderIndex, Message.Type.LEAF_ANSWER, leaf, missing);
        }
    }

    private List<MemberUpdate> updatesAtLeaf(int leaf, List<MemberUpdate> known) {
        List<MemberUpdate> updates = new ArrayList<>();
        for (Member member : view.leaf(leaf)) {
            boolean alreadyKnown =
                    known.stream()
                            .anyMatch(
                                    update ->
                                            update.name().equals(member.name())
                                                    && update.incarnation()
                                                            .equals(
                                                                    member.lastUpdate()
                                                                            .incarnation())
                                                    && update.status() == member.status());
            if (!alreadyKnown) {
                // Drawn order: where not all fit, each comes at some time.
                updates.add(random.nextInt(updates.size() + 1), member.lastUpdate());
            }
        }
        return updates;
    }
}
