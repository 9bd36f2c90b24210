package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import passhatch.lab.load.LoadStatsFixtures;

class ResultEvaluatorTest {

    /**
     * Builds steps of 40 requests from a string with one letter per step: s if all are served, h if
     * half are, n if none are.
     */
    private static Long recovery(String steps, long atMs, long untilMs) {
        return ResultEvaluator.recoveryMs(LoadStatsFixtures.steps(steps, 40), atMs, untilMs);
    }

    @Test
    void recoveryIsTheTimeUntilServiceStaysRestored() {
        assertEquals(0L, recovery("ssssssssssss", 1_000, 3_000));
        assertEquals(1_000L, recovery("ssssnnnnssssssss", 1_000, 4_000));
        assertEquals(1_500L, recovery("ssssnnsshhssssss", 1_000, 4_000), "the rate fell again");
        assertEquals(0L, recovery("ssssssssnnnn", 1_000, 2_000), "the next fault caused this");
        assertNull(recovery("ssssnnnn", 1_000, 2_000), "service was not restored");
    }
}
