package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.MS;
import static passhatch.Proxy.setup;

import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;

/** Retries cause no effect twice and stay within the attempt limit and the retry budget. */
final class RetryTest {

    @Test
    void anUnsafeRequestIsRetriedOnlyIfItProvablyDidNotRun() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            Proxy proxy = new Proxy(setup()).startWith("a", "b");
            String request = proxy.request(Proxy.UNSAFE);
            proxy.endAttempt(request, outcome);
            assertEquals(
                    outcome.provesNotRun ? 2 : 1,
                    proxy.countActions("send " + request),
                    outcome.name());
            if (!outcome.provesNotRun) {
                assertEquals(1, proxy.countActions("fail " + request), outcome.name());
                assertEquals(0, proxy.countActions("refuse " + request), outcome.name());
            }
        }
    }

    @Test
    void anOverdueUnsafeRequestIsNotSentAgain() {
        Proxy.Setup setup = setup();
        Proxy proxy = new Proxy(setup).startWith("a", "b", "c");
        proxy.serve();
        String request = proxy.request(Proxy.UNSAFE);
        proxy.advance(900);
        assertEquals(1, proxy.countActions("send " + request));
    }

    @Test
    void aKeyedRequestIsRetriedWithinItsZoneAndWindow() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c", "d");
        String request = proxy.request(Proxy.KEYED_IN_ZONE);
        String first = proxy.lastServerOf(request);
        proxy.endAttempt(request, Outcome.ERROR);
        assertEquals("ab".contains(first), "ab".contains(proxy.lastServerOf(request)));
        assertNotEquals(first, proxy.lastServerOf(request));
        proxy.endAttempt(request, Outcome.ERROR);
        proxy.advance(1_000);
        assertEquals(2, proxy.countActions("send " + request));
        assertEquals(1, proxy.countActions("fail " + request));
    }

    @Test
    void aKeyedRequestIsNotRetriedAfterItsWindow() {
        Proxy.Setup setup = setup();
        setup.aimUs = 1_000 * MS;
        Proxy proxy = new Proxy(setup).startWith("a", "b");
        String request = proxy.request(Proxy.KEYED);
        proxy.advance(601);
        proxy.endAttempt(request, Outcome.ERROR);
        assertEquals(1, proxy.countActions("send " + request));
    }

    @Test
    void retriesAreBudgeted() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c", "d");
        for (int i = 0; i < 100; i++) {
            String request = proxy.request(Proxy.SAFE);
            while (proxy.countActions("fail " + request) + proxy.countActions("refuse " + request)
                    == 0) {
                proxy.endAttempt(request, Outcome.ERROR);
            }
            proxy.advance(20);
        }
        assertTrue(
                proxy.countActions("send") <= 100 + 5 + 10, "sends: " + proxy.countActions("send"));
    }

    @Test
    void attemptsAreLimited() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c", "d", "e", "f");
        String request = proxy.request(Proxy.SAFE);
        while (proxy.countActions("fail " + request) + proxy.countActions("refuse " + request)
                == 0) {
            proxy.endAttempt(request, Outcome.FULL);
        }
        assertEquals(4, proxy.countActions("send " + request));
    }
}
