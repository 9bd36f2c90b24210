package passhatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Compares the table with a plain map; a copy of it must not see later changes. */
class MemberTableTest {

    private static final int NAMES = 2_000;
    private static final int STEPS = 20_000;

    private static Member member(int number, int refutation) {
        Incarnation incarnation = new Incarnation(1, 0, refutation);
        return new Member(MemberUpdate.of(Status.FAILED, "n" + number, incarnation, -1), 0);
    }

    private static Map<String, Integer> content(MemberTable table) {
        return table.all()
                .collect(
                        Collectors.toMap(
                                Member::name, m -> m.lastUpdate().incarnation().refutation()));
    }

    @Test
    void behavesLikeMapWithIndependentCopies() {
        SplittableRandom random = new SplittableRandom(1);
        MemberTable table = new MemberTable();
        Map<String, Integer> expected = new TreeMap<>();
        MemberTable copy = new MemberTable(table);
        Map<String, Integer> expectedOfCopy = Map.of();
        for (int step = 0; step < STEPS; step++) {
            int number = random.nextInt(NAMES);
            Member known = table.get("n" + number);
            if (known != null && random.nextInt(3) == 0) {
                table.remove(known);
                expected.remove(known.name());
                assertNull(table.get(known.name()));
            } else {
                table.put(member(number, step));
                expected.put("n" + number, step);
                assertEquals(step, table.get("n" + number).lastUpdate().incarnation().refutation());
            }
            if (step == STEPS / 2) {
                copy = new MemberTable(table);
                expectedOfCopy = Map.copyOf(expected);
            }
        }
        assertEquals(expected, content(table));
        assertEquals(expected.size(), table.size());
        assertEquals(expectedOfCopy, content(copy));
    }

    /** Draws names until two have the same CRC32C. */
    private static String[] namesWithEqualHashes() {
        SplittableRandom random = new SplittableRandom(1);
        Map<Integer, String> byHash = new HashMap<>();
        while (true) {
            String name = Long.toString(random.nextLong(1L << 50), Character.MAX_RADIX);
            String other = byHash.put(Names.hash(name), name);
            if (other != null && !other.equals(name)) {
                return new String[] {name, other};
            }
        }
    }

    @Test
    void namesWithEqualHashesAreDistinguished() {
        String[] names = namesWithEqualHashes();
        Incarnation incarnation = new Incarnation(1, 0, 0);
        MemberTable table = new MemberTable();
        table.put(new Member(MemberUpdate.of(Status.FAILED, names[0], incarnation, 0), 0));
        assertNull(table.get(names[1]));
        table.put(new Member(MemberUpdate.of(Status.FAILED, names[1], incarnation, 1), 0));
        assertEquals(0, table.get(names[0]).lastUpdate().addressIndex());
        assertEquals(1, table.get(names[1]).lastUpdate().addressIndex());
    }
}
