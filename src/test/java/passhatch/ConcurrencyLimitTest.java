package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static passhatch.Proxy.MS;
import static passhatch.Proxy.setup;

import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;

/** Concurrency limits without load reports, where a server that looks idle may be congested. */
final class ConcurrencyLimitTest {

    @Test
    void aServerWhoseLastLatencyWasNearTheTargetIsAvoidedForAWhile() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 60; i++) {
            String request = proxy.request(Proxy.SAFE);
            long ms = proxy.lastServerOf(request).equals("a") ? 390 : 20;
            proxy.advance(ms);
            proxy.balancer.outcome(
                    proxy.nowUs,
                    request,
                    0,
                    proxy.lastServerOf(request),
                    Outcome.OK,
                    ms * MS,
                    true,
                    null);
        }
        assertEquals("b", proxy.lastServerOf(proxy.request(Proxy.SAFE)));
        assertEquals(
                "b",
                proxy.lastServerOf(proxy.request(Proxy.SAFE)),
                "sent to a server that other copies congest");
        proxy.advance(4_000);
        assertEquals(
                "a",
                proxy.lastServerOf(proxy.request(Proxy.SAFE)),
                "its recovery would never be seen");
    }

    /**
     * The process is slow at first and the servers are busy, so the first latencies are high. The
     * copy must not stop sending because of them.
     */
    @Test
    void aCopyThatStartsUnderFullLoadSendsTheMinimumConcurrencyWhateverTheFirstLatencies() {
        Proxy.Setup setup = setup();
        setup.copies = 1;
        Proxy proxy = new Proxy(setup).startWith("a", "b");
        for (int i = 0; i < 4; i++) {
            String request = proxy.request(Proxy.SAFE);
            proxy.advance(300);
            proxy.balancer.outcome(
                    proxy.nowUs,
                    request,
                    0,
                    proxy.lastServerOf(request),
                    Outcome.OK,
                    300 * MS,
                    true,
                    null);
        }
        int before = proxy.countActions("send");
        for (int i = 0; i < 20; i++) {
            proxy.request(Proxy.SAFE);
        }
        assertEquals(
                8,
                proxy.countActions("send") - before,
                "the minimum concurrency of each server, and no more");
    }

    /**
     * Serves 20 requests one by one in 20 ms each, then 40 in {@code laterMs} each. Returns how
     * many of three concurrent requests are then sent at once.
     */
    private int sentOfThreeAfter(long laterMs, int copies) {
        Proxy.Setup setup = setup();
        setup.copies = copies;
        setup.aimUs = 900 * MS;
        Proxy proxy = new Proxy(setup).startWith("a");
        for (int i = 0; i < 60; i++) {
            long ms = i < 20 ? 20 : laterMs;
            String request = proxy.request(Proxy.SAFE);
            proxy.advance(ms);
            proxy.balancer.outcome(proxy.nowUs, request, 0, "a", Outcome.OK, ms * MS, true, null);
        }
        for (int i = 0; i < 3; i++) {
            proxy.request(Proxy.SAFE);
        }
        return proxy.countActions("send") - 60;
    }

    @Test
    void requestsAreQueuedHereWhileLatenciesAreFarAboveTheBaseline() {
        assertEquals(3, sentOfThreeAfter(20, 3), "latency did not rise with concurrent requests");
        assertEquals(
                2, sentOfThreeAfter(80, 3), "the target latency allows more, the server does not");
    }

    @Test
    void theMoreCopiesShareACongestedServerTheFewerRequestsEachSendsIt() {
        assertEquals(3, sentOfThreeAfter(20, 8));
        assertEquals(
                1,
                sentOfThreeAfter(80, 8),
                "two from each of eight copies would congest the server");
    }
}
