package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import passhatch.proxy.base.StallDetector;

class StallDetectorTest {

    private static final long GRACE_US = 500_000;

    private final StallDetector stallDetector = new StallDetector(0);
    private long nowUs;

    private void tickUntil(long untilUs) {
        while (nowUs < untilUs) {
            nowUs += StallDetector.TICK_INTERVAL_US;
            stallDetector.tick(nowUs);
        }
    }

    private void stall(long us) {
        nowUs += StallDetector.TICK_INTERVAL_US + us;
        stallDetector.tick(nowUs);
    }

    /**
     * After a stall, another one of the same length delays no response beyond its client's wait.
     */
    @Test
    void theMarginCoversAnotherStallOfTheSameLength() {
        for (long us = 0; us < 2_000_000; us += 50_000) {
            stall(us);
            assertTrue(us - stallDetector.responseMarginUs() < GRACE_US, us + " us");
            assertTrue(
                    stallDetector.responseMarginUs() <= Math.max(0, us - GRACE_US / 2),
                    "the margin is larger than needed");
        }
    }

    @Test
    void shortStallsAreIgnoredAndLongOnesExpire() {
        tickUntil(1_000_000);
        stall(300_000);
        assertEquals(0, stallDetector.responseMarginUs());
        stall(900_000);
        assertTrue(stallDetector.responseMarginUs() > 400_000);
        tickUntil(nowUs + 9_000_000);
        assertTrue(stallDetector.responseMarginUs() > 400_000, "another stall is still likely");
        tickUntil(nowUs + 2_000_000);
        assertEquals(0, stallDetector.responseMarginUs());
    }

    @Test
    void unreadTimeCountsUntilTheNextTick() {
        tickUntil(100_000);
        assertEquals(0, stallDetector.unreadUs(nowUs));
        assertTrue(stallDetector.unreadUs(nowUs + 500_000) > 450_000, "before the tick");
        stall(500_000);
        assertTrue(stallDetector.unreadUs(nowUs) > 450_000, "after the tick");
        tickUntil(nowUs + StallDetector.TICK_INTERVAL_US);
        assertEquals(0, stallDetector.unreadUs(nowUs));
    }
}
