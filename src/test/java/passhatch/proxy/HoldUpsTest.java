package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import passhatch.proxy.base.HoldUps;

class HoldUpsTest {

    private static final long GRACE_US = 500_000;

    private final HoldUps holdUps = new HoldUps(0);
    private long nowUs;

    private void beats(long untilUs) {
        while (nowUs < untilUs) {
            nowUs += HoldUps.BEAT_US;
            holdUps.beat(nowUs);
        }
    }

    private void heldUp(long us) {
        nowUs += HoldUps.BEAT_US + us;
        holdUps.beat(nowUs);
    }

    /** Once a hold-up was seen, one as long does not make an answer later than its client waits. */
    @Test
    void oneMoreOfTheSameLengthLosesNothing() {
        for (long us = 0; us < 2_000_000; us += 50_000) {
            heldUp(us);
            assertTrue(us - holdUps.answerAheadUs() < GRACE_US, us + " us");
            assertTrue(
                    holdUps.answerAheadUs() <= Math.max(0, us - GRACE_US / 2),
                    "no more than it needs");
        }
    }

    @Test
    void shortOnesAskForNoCareAndLongOnesAreForgotten() {
        beats(1_000_000);
        heldUp(300_000);
        assertEquals(0, holdUps.answerAheadUs());
        heldUp(900_000);
        assertTrue(holdUps.answerAheadUs() > 400_000);
        beats(nowUs + 9_000_000);
        assertTrue(holdUps.answerAheadUs() > 400_000, "still likely");
        beats(nowUs + 2_000_000);
        assertEquals(0, holdUps.answerAheadUs());
    }

    @Test
    void whatStoodUnreadCountsUntilTheNextBeat() {
        beats(100_000);
        assertEquals(0, holdUps.unreadUs(nowUs));
        assertTrue(holdUps.unreadUs(nowUs + 500_000) > 450_000, "before the loop beats");
        heldUp(500_000);
        assertTrue(holdUps.unreadUs(nowUs) > 450_000, "after it");
        beats(nowUs + HoldUps.BEAT_US);
        assertEquals(0, holdUps.unreadUs(nowUs));
    }
}
