package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import passhatch.lab.load.LoadStatsFixtures;

class ResultEvaluatorTest {

    /** Forty requests a step; the string has a letter a step: s all served, h half, n none. */
    private static Long recovery(String steps, long atMs, long untilMs) {
        return ResultEvaluator.recovery(LoadStatsFixtures.steps(steps, 40), atMs, untilMs);
    }

    @Test
    void recoveryIsTheTimeUntilServiceStaysRestored() {
        assertEquals(0L, recovery("ssssssssssss", 1_000, 3_000));
        assertEquals(1_000L, recovery("ssssnnnnssssssss", 1_000, 4_000));
        assertEquals(1_500L, recovery("ssssnnsshhssssss", 1_000, 4_000), "it fell again");
        assertEquals(0L, recovery("ssssssssnnnn", 1_000, 2_000), "that is the next fault's");
        assertNull(recovery("ssssnnnn", 1_000, 2_000), "it was not back");
    }
}
