package passhatch.fleet;

/**
 * Digests of a view as a tree of a root, 16 inner nodes and 256 leaves, so that two processes find
 * where they differ in a few datagrams (Merkle trees for anti-entropy as in Demers et al.,
 * "Epidemic Algorithms for Replicated Database Maintenance", 1987, and Dynamo).
 *
 * <p>Suspicion is left out: it comes and goes faster than digests are compared.
 */
final class Digests {

    static final int CHILDREN = 16;
    static final int LEAVES = CHILDREN * CHILDREN;

    /** The root's number as a node. */
    static final int ROOT = -1;

    private static final int SPREAD = 0x9E3779B9;

    private final int[] leaves = new int[LEAVES];

    /** The leaf of a member. */
    static int leaf(String name) {
        return Names.hash(name) & LEAVES - 1;
    }

    /** Adds a statement, or takes it away again. */
    void toggle(Fact fact) {
        Status told = fact.status() == Status.SUSPECT ? Status.ALIVE : fact.status();
        int digest = Names.hash(fact.name());
        for (long part :
                new long[] {
                    fact.incarnation().epoch(),
                    fact.incarnation().life(),
                    fact.incarnation().refutation(),
                    told.ordinal()
                }) {
            digest = mix(digest, Long.hashCode(part));
        }
        leaves[leaf(fact.name())] ^= digest;
    }

    private static int mix(int a, int b) {
        int x = (a ^ b) * SPREAD;
        x ^= x >>> 15;
        return x * SPREAD ^ x >>> 13;
    }

    /** The children's digests of an inner node or of the root. */
    int[] children(int node) {
        int[] digests = new int[CHILDREN];
        for (int i = 0; i < CHILDREN; i++) {
            digests[i] = node == ROOT ? inner(i) : leaves[node * CHILDREN + i];
        }
        return digests;
    }

    private int inner(int node) {
        int digest = 1;
        for (int i = 0; i < CHILDREN; i++) {
            digest = mix(digest, leaves[node * CHILDREN + i]);
        }
        return digest;
    }

    /** Two views are the same but for suspicion where this is. */
    int root() {
        int digest = 1;
        for (int leaf : leaves) {
            digest = mix(digest, leaf);
        }
        return digest;
    }
}
