package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static passhatch.Proxy.names;
import static passhatch.Proxy.setup;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.ServerStatus;

/** Lists of hundreds, and events that come twice, late or for servers not listed. */
final class LargeServerListTest {

    private static final int SERVER_COUNT = 300;

    private Proxy proxyWithLargeList(boolean probes) {
        Proxy.Setup setup = setup();
        setup.copies = 400;
        setup.copy = 399;
        setup.probes = probes;
        return new Proxy(setup).startWith(names(SERVER_COUNT));
    }

    @Test
    void toleratesAnEmptyListAndAStartTimeThatGoesBack() {
        for (boolean probes : new boolean[] {false, true}) {
            Proxy p = proxyWithLargeList(probes);
            String held = p.request(Proxy.UNSAFE);
            p.reportAllIdle();
            String at = p.lastServerOf(held);
            p.balancer.serversChanged(p.nowUs, ListKind.WHOLE, List.of());
            String waits = p.request(Proxy.SAFE);
            assertNull(p.lastServerOf(waits), "sent to a server that is gone");
            p.endAttempt(held, Outcome.OK);
            p.change(at, p.nowUs, ServerStatus.UP);
            p.change(at, 0, ServerStatus.UP);
            p.reportAllIdle();
            assertEquals(at, p.lastServerOf(waits), "the only server left");
            p.advance(2_000);
        }
    }

    @Test
    void ignoresRepeatedAndUnknownOutcomes() {
        Proxy p = proxyWithLargeList(false);
        String r = p.request(Proxy.SAFE);
        p.endAttempt(r, Outcome.OK);
        int done = p.actions.size();
        p.endAttempt(r, Outcome.RESET);
        p.balancer.outcome(p.nowUs, "never", 3, "nowhere", Outcome.OK, 1, true, null);
        p.balancer.probeResult(p.nowUs, "nowhere", Outcome.TIMEOUT, 1, null);
        p.balancer.clientGone(p.nowUs, r);
        assertEquals(done, p.actions.size(), "acted on what it does not hold");
    }

    @Test
    void aCopyWhoseWholeSubsetIsGoneUsesTheNextServers() {
        Proxy p = proxyWithLargeList(false);
        Set<String> circle = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            circle.add(p.serve());
        }
        circle.forEach(id -> p.change(id, 0, ServerStatus.GONE));
        for (int i = 0; i < 20; i++) {
            String server = p.serve();
            assertNotNull(server);
            assertFalse(circle.contains(server), server + " is gone");
        }
    }
}
