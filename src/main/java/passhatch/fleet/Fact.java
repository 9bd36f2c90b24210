package passhatch.fleet;

import java.util.List;

/**
 * One statement about one member, as it goes from process to process.
 *
 * @param name whose, as {@link Names#isName} has it
 * @param number where its own list of addresses has the member, or -1; only a hint, as lists may
 *     differ
 * @param version of the program it runs; empty unless it is alive
 * @param roles what it is there for, separated by commas; empty unless it is alive
 * @param accusers who found that it does not answer, as short hashes of their names; empty unless
 *     suspect
 */
public record Fact(
        Status status,
        String name,
        Incarnation incarnation,
        int number,
        String version,
        String roles,
        List<Integer> accusers) {

    /** Accusers that are told at most; more change nothing. */
    static final int MOST_ACCUSERS = 4;

    /** A statement without what only living or suspect members have. */
    static Fact of(Status status, String name, Incarnation incarnation, int number) {
        return new Fact(status, name, incarnation, number, "", "", List.of());
    }

    /** Whether this one overrules the other about the same member. */
    boolean overrules(Fact other) {
        int newer = incarnation.compareTo(other.incarnation);
        return newer > 0 || newer == 0 && status.compareTo(other.status) > 0;
    }
}
