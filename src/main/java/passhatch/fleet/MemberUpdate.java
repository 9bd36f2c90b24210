package passhatch.fleet;

import java.util.List;

/**
 * One statement about one member, as it goes from process to process.
 *
 * @param name whose, as {@link Names#isName} has it
 * @param addressIndex where its own list of addresses has the member, or -1; only a hint, as lists
 *     may differ
 * @param version of the program it runs; empty unless it is alive
 * @param roles what it is there for, separated by commas; empty unless it is alive
 * @param reporters who found that it does not answer, as short hashes of their names; empty unless
 *     suspect
 */
public record MemberUpdate(
        Status status,
        String name,
        Incarnation incarnation,
        int addressIndex,
        String version,
        String roles,
        List<Integer> reporters) {

    /** Accusers that are told at most; more change nothing. */
    static final int MAX_REPORTERS = 4;

    /** A statement without what only living or suspect members have. */
    static MemberUpdate of(Status status, String name, Incarnation incarnation, int addressIndex) {
        return new MemberUpdate(status, name, incarnation, addressIndex, "", "", List.of());
    }

    /** Whether this one overrules the other about the same member. */
    boolean overrides(MemberUpdate other) {
        int order = incarnation.compareTo(other.incarnation);
        return order > 0 || order == 0 && status.compareTo(other.status) > 0;
    }
}
