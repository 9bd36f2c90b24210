package passhatch.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/**
 * A table of members by name, divided into the leaves of the {@linkplain Digests digest tree}. Each
 * leaf is an immutable array, sorted by the hashes of the names. A change replaces a leaf, so
 * copies of the table share the leaves that neither copy has changed.
 */
final class MemberTable {

    private static final Member[] EMPTY = {};

    private final Member[][] leaves;
    private int size;

    MemberTable() {
        leaves = new Member[Digests.LEAF_COUNT][];
        Arrays.fill(leaves, EMPTY);
    }

    /**
     * Creates a copy of another table; the two tables share all leaves that neither of them
     * changes.
     */
    MemberTable(MemberTable other) {
        leaves = other.leaves.clone();
        size = other.size;
    }

    int size() {
        return size;
    }

    /** Returns the member with a name, or null if there is none. */
    Member get(String name) {
        int hash = Names.hash(name);
        Member[] leaf = leaves[Digests.leafIndex(hash)];
        int index = find(leaf, hash, name);
        return index < 0 ? null : leaf[index];
    }

    /** Adds a member, or replaces the one with the same name. */
    void put(Member member) {
        int leafIndex = Digests.leafIndex(member.nameHash());
        Member[] leaf = leaves[leafIndex];
        int index = find(leaf, member.nameHash(), member.name());
        if (index >= 0) {
            Member[] changed = leaf.clone();
            changed[index] = member;
            leaves[leafIndex] = changed;
            return;
        }
        int insertionIndex = -index - 1;
        Member[] longer = Arrays.copyOf(leaf, leaf.length + 1);
        System.arraycopy(
                leaf, insertionIndex, longer, insertionIndex + 1, leaf.length - insertionIndex);
        longer[insertionIndex] = member;
        leaves[leafIndex] = longer;
        size++;
    }

    /** Removes a member, which must be in the table. */
    void remove(Member member) {
        int leafIndex = Digests.leafIndex(member.nameHash());
        Member[] leaf = leaves[leafIndex];
        int index = find(leaf, member.nameHash(), member.name());
        Member[] shorter = Arrays.copyOf(leaf, leaf.length - 1);
        System.arraycopy(leaf, index + 1, shorter, index, shorter.length - index);
        leaves[leafIndex] = shorter;
        size--;
    }

    List<Member> membersOfLeaf(int leafIndex) {
        return Arrays.asList(leaves[leafIndex]);
    }

    /** Returns all members. The table may change while the stream is in use. */
    Stream<Member> all() {
        return Arrays.stream(leaves.clone()).flatMap(Arrays::stream);
    }

    /**
     * Returns the index of the member with a name in a leaf, or a negative value as {@link
     * Arrays#binarySearch(int[], int)} returns it.
     */
    private static int find(Member[] leaf, int hash, String name) {
        int low = 0;
        int high = leaf.length - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int order = Integer.compare(leaf[middle].nameHash(), hash);
            if (order == 0) {
                order = leaf[middle].name().compareTo(name);
            }
            if (order == 0) {
                return middle;
            }
            if (order < 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return -low - 1;
    }
}
