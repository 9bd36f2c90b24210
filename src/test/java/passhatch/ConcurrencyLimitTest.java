package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static passhatch.Proxy.MS;
import static passhatch.Proxy.setup;

import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;

/**
 * Concurrency limits where only own calls tell, as other copies may crowd a server that looks idle.
 */
final class ConcurrencyLimitTest {

    @Test
    void aServerWhoseLastLatencyWasNearTheTargetIsAvoidedForAWhile() {
        Proxy p = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 60; i++) {
            String r = p.request(Proxy.SAFE);
            long ms = p.lastServerOf(r).equals("a") ? 390 : 20;
            p.advance(ms);
            p.balancer.outcome(p.nowUs, r, 0, p.lastServerOf(r), Outcome.OK, ms * MS, true, null);
        }
        assertEquals("b", p.lastServerOf(p.request(Proxy.SAFE)));
        assertEquals(
                "b", p.lastServerOf(p.request(Proxy.SAFE)), "sent to a server that others crowd");
        p.advance(4_000);
        assertEquals(
                "a", p.lastServerOf(p.request(Proxy.SAFE)), "or it would never be seen to recover");
    }

    /** Its process is slow at first and the servers are busy: that is no reason to send nothing. */
    @Test
    void aCopyThatStartsUnderFullLoadSendsTheMinimumConcurrencyWhateverTheFirstLatencies() {
        Proxy.Setup setup = setup();
        setup.copies = 1;
        Proxy p = new Proxy(setup).startWith("a", "b");
        for (int i = 0; i < 4; i++) {
            String r = p.request(Proxy.SAFE);
            p.advance(300);
            p.balancer.outcome(p.nowUs, r, 0, p.lastServerOf(r), Outcome.OK, 300 * MS, true, null);
        }
        int before = p.countActions("send");
        for (int i = 0; i < 20; i++) {
            p.request(Proxy.SAFE);
        }
        assertEquals(
                8,
                p.countActions("send") - before,
                "as many as a server may always have, and no more");
    }

    /**
     * Serves calls one by one in 20 ms each, then more that take this long; then come three at
     * once.
     */
    private int sentOfThreeAfter(long laterMs, int copies) {
        Proxy.Setup setup = setup();
        setup.copies = copies;
        setup.aimUs = 900 * MS;
        Proxy p = new Proxy(setup).startWith("a");
        for (int i = 0; i < 60; i++) {
            long ms = i < 20 ? 20 : laterMs;
            String r = p.request(Proxy.SAFE);
            p.advance(ms);
            p.balancer.outcome(p.nowUs, r, 0, "a", Outcome.OK, ms * MS, true, null);
        }
        for (int i = 0; i < 3; i++) {
            p.request(Proxy.SAFE);
        }
        return p.countActions("send") - 60;
    }

    @Test
    void requestsAreQueuedHereWhileLatenciesAreFarAboveTheBaseline() {
        assertEquals(3, sentOfThreeAfter(20, 3), "no time was lost with others there");
        assertEquals(2, sentOfThreeAfter(80, 3), "the aim has room for more, the server has not");
    }

    @Test
    void theMoreCopiesShareACongestedServerTheFewerRequestsEachSendsIt() {
        assertEquals(3, sentOfThreeAfter(20, 8));
        assertEquals(1, sentOfThreeAfter(80, 8), "each of eight copies with two would be a crowd");
    }
}
