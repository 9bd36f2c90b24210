package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.MS;
import static passhatch.Proxy.setup;

import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;

/** Retries: no effect twice, within attempts and budget. */
final class RetryTest {

    @Test
    void anUnsafeRequestIsRetriedOnlyIfItProvablyDidNotRun() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            Proxy p = new Proxy(setup()).startWith("a", "b");
            String r = p.request(Proxy.UNSAFE);
            p.endAttempt(r, outcome);
            assertEquals(outcome.provesNotRun ? 2 : 1, p.countActions("send " + r), outcome.name());
            if (!outcome.provesNotRun) {
                assertEquals(1, p.countActions("fail " + r), outcome.name());
                assertEquals(0, p.countActions("refuse " + r), outcome.name());
            }
        }
    }

    @Test
    void anOverdueUnsafeRequestIsNotSentAgain() {
        Proxy.Setup setup = setup();
        Proxy p = new Proxy(setup).startWith("a", "b", "c");
        p.serve();
        String r = p.request(Proxy.UNSAFE);
        p.advance(900);
        assertEquals(1, p.countActions("send " + r));
    }

    @Test
    void aKeyedRequestIsRetriedWithinItsZoneAndWindow() {
        Proxy p = new Proxy(setup()).startWith("a", "b", "c", "d");
        String r = p.request(Proxy.KEYED_IN_ZONE);
        String first = p.lastServerOf(r);
        p.endAttempt(r, Outcome.ERROR);
        assertEquals("ab".contains(first), "ab".contains(p.lastServerOf(r)));
        assertNotEquals(first, p.lastServerOf(r));
        p.endAttempt(r, Outcome.ERROR);
        p.advance(1_000);
        assertEquals(2, p.countActions("send " + r));
        assertEquals(1, p.countActions("fail " + r));
    }

    @Test
    void aKeyedRequestIsNotRetriedAfterItsWindow() {
        Proxy.Setup setup = setup();
        setup.aimUs = 1_000 * MS;
        Proxy p = new Proxy(setup).startWith("a", "b");
        String r = p.request(Proxy.KEYED);
        p.advance(601);
        p.endAttempt(r, Outcome.ERROR);
        assertEquals(1, p.countActions("send " + r));
    }

    @Test
    void retriesAreBudgeted() {
        Proxy p = new Proxy(setup()).startWith("a", "b", "c", "d");
        for (int i = 0; i < 100; i++) {
            String r = p.request(Proxy.SAFE);
            while (p.countActions("fail " + r) + p.countActions("refuse " + r) == 0) {
                p.endAttempt(r, Outcome.ERROR);
            }
            p.advance(20);
        }
        assertTrue(p.countActions("send") <= 100 + 5 + 10, "sends: " + p.countActions("send"));
    }

    @Test
    void attemptsAreLimited() {
        Proxy p = new Proxy(setup()).startWith("a", "b", "c", "d", "e", "f");
        String r = p.request(Proxy.SAFE);
        while (p.countActions("fail " + r) + p.countActions("refuse " + r) == 0) {
            p.endAttempt(r, Outcome.FULL);
        }
        assertEquals(4, p.countActions("send " + r));
    }
}
