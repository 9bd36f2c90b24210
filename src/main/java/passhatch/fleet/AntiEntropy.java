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
    private static final int MOST_CHILDREN = 4;

    /** Comparisons in quick order after one that found a difference: some datagrams get lost. */
    private static final int EAGER = 8;

    private final View view;
    private final Outbox outbox;
    private final RandomGenerator random;
    private int eager;

    AntiEntropy(View view, Outbox outbox, RandomGenerator random) {
        this.view = view;
        this.outbox = outbox;
        this.random = random;
    }

    /**
     * Begins with one member; returns whether to do so again soon, as a difference was found
     * lately.
     */
    boolean begin(Member with) {
        outbox.sync(with.address(), Digests.ROOT, view.digests().children(Digests.ROOT));
        eager = Math.max(0, eager - 1);
        return eager > 0;
    }

    /** Somebody's digests of a node. */
    void compare(int from, int node, int[] digests) {
        int[] mine = view.digests().children(node);
        List<Integer> different = new ArrayList<>();
        for (int i = 0; i < mine.length; i++) {
            if (mine[i] != digests[i]) {
                different.add(i);
            }
        }
        if (!different.isEmpty()) {
            eager = EAGER;
        }
        while (different.size() > MOST_CHILDREN) {
            Collections.swap(different, random.nextInt(different.size()), different.size() - 1);
            different.remove(different.size() - 1);
        }
        for (int child : different) {
            if (node == Digests.ROOT) {
                outbox.sync(from, child, view.digests().children(child));
            } else {
                int leaf = node * Digests.CHILDREN + child;
                outbox.leaf(from, Message.Kind.LEAF, leaf, facts(leaf, List.of()));
            }
        }
    }

    /** Somebody's facts at a leaf, which were heard already: tells what they do not have. */
    void answer(int from, int leaf, List<Fact> theirs) {
        List<Fact> missing = facts(leaf, theirs);
        if (!missing.isEmpty()) {
            outbox.leaf(from, Message.Kind.LEAF_ANSWER, leaf, missing);
        }
    }

    private List<Fact> facts(int leaf, List<Fact> but) {
        List<Fact> facts = new ArrayList<>();
        for (Member member : view.leaf(leaf)) {
            boolean same =
                    but.stream()
                            .anyMatch(
                                    f ->
                                            f.name().equals(member.name())
                                                    && f.incarnation()
                                                            .equals(member.fact().incarnation())
                                                    && f.status() == member.status());
            if (!same) {
                // Drawn order: where not all fit, each comes at some time.
                facts.add(random.nextInt(facts.size() + 1), member.fact());
            }
        }
        return facts;
    }
}
