package passhatch.fleet;

import java.util.List;

/**
 * A statement about the status of one member, as processes gossip it.
 *
 * @param name name of the member; satisfies {@link Names#isName}
 * @param addressIndex index of the member's address in the address list that the member itself
 *     uses, or -1 if the address is not listed; only a hint, because the lists of two processes may
 *     differ
 * @param version version of the program that the member runs; empty unless the member is alive or
 *     has left
 * @param roles roles of the member, separated by commas; empty unless the member is alive or has
 *     left
 * @param reporters short hashes of the names of the members that got no answer from this member;
 *     empty unless this member is suspect
 */
public record MemberUpdate(
        Status status,
        String name,
        Incarnation incarnation,
        int addressIndex,
        String version,
        String roles,
        List<Integer> reporters) {

    /** Maximum number of reporters in an update; further ones have no effect. */
    static final int MAX_REPORTERS = 4;

    /** Creates an update with empty version, roles and reporters. */
    static MemberUpdate of(Status status, String name, Incarnation incarnation, int addressIndex) {
        return new MemberUpdate(status, name, incarnation, addressIndex, "", "", List.of());
    }

    /**
     * Returns whether this update overrides another one about the same member. The update with the
     * newer incarnation overrides; if the incarnations are equal, the update whose status is
     * declared later in {@link Status} overrides.
     */
    boolean overrides(MemberUpdate other) {
        int order = incarnation.compareTo(other.incarnation);
        return order > 0 || order == 0 && status.compareTo(other.status) > 0;
    }
}
