package passhatch.fleet;

/**
 * A tree of digests of a view, with a root, 16 inner nodes and 256 leaves. Each leaf covers the
 * members whose names hash to it. By comparing their trees, two processes find the differences
 * between their views in a few datagrams (Merkle trees for anti-entropy as in Demers et al.,
 * "Epidemic Algorithms for Replicated Database Maintenance", 1987, and Dynamo).
 *
 * <p>In the digests, a suspect counts as alive, because suspicions change faster than digests are
 * compared.
 */
final class Digests {

    static final int CHILDREN_PER_NODE = 16;
    static final int LEAF_COUNT = CHILDREN_PER_NODE * CHILDREN_PER_NODE;

    /** Node number of the root of the tree. */
    static final int ROOT = -1;

    private static final int HASH_MULTIPLIER = 0x9E3779B9;

    private final int[] leaves;

    Digests() {
        leaves = new int[LEAF_COUNT];
    }

    /** Creates a copy of another tree. */
    Digests(Digests other) {
        leaves = other.leaves.clone();
    }

    /**
     * Returns the index of the leaf that covers the members whose names have the given {@linkplain
     * Names#hash hash}.
     */
    static int leafIndex(int nameHash) {
        return nameHash & LEAF_COUNT - 1;
    }

    /**
     * Adds an update to the digest of the leaf that covers its member, or removes the update if it
     * was added before.
     */
    void toggle(MemberUpdate update) {
        Status digestedStatus = update.status() == Status.SUSPECT ? Status.ALIVE : update.status();
        int hash = Names.hash(update.name());
        int digest = mix(hash, Long.hashCode(update.incarnation().epoch()));
        // Hashes the run ID as a sign-extended long, because it is encoded like this on the wire.
        digest = mix(digest, Long.hashCode(update.incarnation().runId()));
        digest = mix(digest, update.incarnation().refutation());
        digest = mix(digest, digestedStatus.ordinal());
        leaves[leafIndex(hash)] ^= digest;
    }

    private static int mix(int a, int b) {
        int x = (a ^ b) * HASH_MULTIPLIER;
        x ^= x >>> 15;
        return x * HASH_MULTIPLIER ^ x >>> 13;
    }

    /** Returns the digests of the children of an inner node or of the root. */
    int[] childDigests(int node) {
        int[] digests = new int[CHILDREN_PER_NODE];
        for (int i = 0; i < CHILDREN_PER_NODE; i++) {
            digests[i] = node == ROOT ? innerDigest(i) : leaves[node * CHILDREN_PER_NODE + i];
        }
        return digests;
    }

    private int innerDigest(int node) {
        int digest = 1;
        for (int i = 0; i < CHILDREN_PER_NODE; i++) {
            digest = mix(digest, leaves[node * CHILDREN_PER_NODE + i]);
        }
        return digest;
    }

    /**
     * Returns the digest of the whole view. Views with equal digests are equal except for
     * suspicions.
     */
    int rootDigest() {
        int digest = 1;
        for (int leaf : leaves) {
            digest = mix(digest, leaf);
        }
        return digest;
    }
}
