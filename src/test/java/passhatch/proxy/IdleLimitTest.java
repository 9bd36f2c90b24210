package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** From which breaks a limit is learnt, and from which none. */
class IdleLimitTest {

    private static final long MOST_US = 7_000_000;
    private static final long QUICK_US = 3_000;
    private static final long LONG_US = 200_000;

    private final IdleLimit limit = new IdleLimit(MOST_US);

    /** Uses that break now and then, evenly spread. */
    private void use(int times, long idleUs, int breaks) {
        for (int i = 0; i < times; i++) {
            if ((i + 1) * breaks / times > i * breaks / times) {
                limit.broke(idleUs);
            } else {
                limit.stood(idleUs);
            }
        }
    }

    @Test
    void breaksAfterLongIdleTimesSetIt() {
        use(100, QUICK_US, 0);
        use(20, LONG_US, 0);
        assertEquals(MOST_US, limit.us());
        use(4, LONG_US, 3);
        assertTrue(limit.us() > QUICK_US && limit.us() <= LONG_US, "limit: " + limit.us());
    }

    @Test
    void breaksAtAnyAgeSetNone() {
        // A backend that breaks answers does so whatever its connections did before.
        use(100, QUICK_US, 8);
        use(100, 0, 8);
        use(50, LONG_US, 5);
        assertEquals(MOST_US, limit.us());
    }

    @Test
    void aSingleBreakIsChance() {
        use(100, QUICK_US, 0);
        use(1, LONG_US, 1);
        assertEquals(MOST_US, limit.us());
        use(30, LONG_US, 0);
        assertEquals(MOST_US, limit.us());
    }

    @Test
    void breaksOfShortIdleTimesSetNone() {
        use(50, LONG_US, 0);
        use(50, QUICK_US, 10);
        assertEquals(MOST_US, limit.us());
    }

    @Test
    void whatWasSeenFadesSoThatItIsTriedAgain() {
        use(100, QUICK_US, 0);
        use(20, LONG_US, 3);
        assertTrue(limit.us() < MOST_US);
        limit.fade(0);
        limit.fade(1);
        assertTrue(limit.us() < MOST_US);
        limit.fade(60_000_000);
        limit.fade(120_000_000);
        assertEquals(MOST_US, limit.us());
    }
}
