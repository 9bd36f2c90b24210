package passhatch.fleet;

import java.util.List;

/**
 * A statement about the status of one member, as processes gossip it.
 *
 * @param name of the member; satisfies {@link Names#isName}
 * @param addressIndex index of the member in its own address list, or -1; only a hint, as lists may
 *     differ
 * @param version of the program that the member runs; empty unless the member is alive or has left
 * @param roles of the member, separated by commas; empty unless it is alive or has left
 * @param reporters members that got no answer from it, as short hashes of their names; empty unless
 *     it is suspect
 */
public record MemberUpdate(
        Status status,
        String name,
        Incarnation incarnation,
        int addressIndex,
        String version,
        String roles,
        List<Integer> reporters) {

    /** Most reporters that are sent; further ones change nothing. */
    static final int MAX_REPORTERS = 4;

    /** Creates an update without the fields that depend on the status. */
    static MemberUpdate of(Status status, String name, Incarnation incarnation, int addressIndex) {
        return new MemberUpdate(status, name, incarnation, addressIndex, "", "", List.of());
    }

    /** Whether this update overrides another one about the same member. */
    boolean overrides(MemberUpdate other) {
        int order = incarnation.compareTo(other.incarnation);
        return order > 0 || order == 0 && status.compareTo(other.status) > 0;
    }
}
