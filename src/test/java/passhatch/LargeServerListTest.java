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

/** Lists of hundreds of servers, and events that are repeated, late or for unlisted servers. */
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
            Proxy proxy = proxyWithLargeList(probes);
            String outstanding = proxy.request(Proxy.UNSAFE);
            proxy.reportAllIdle();
            String server = proxy.lastServerOf(outstanding);
            proxy.balancer.serversChanged(proxy.nowUs, ListKind.WHOLE, List.of());
            String waiting = proxy.request(Proxy.SAFE);
            assertNull(proxy.lastServerOf(waiting), "sent to a removed server");
            proxy.endAttempt(outstanding, Outcome.OK);
            proxy.change(server, proxy.nowUs, ServerStatus.UP);
            proxy.change(server, 0, ServerStatus.UP);
            proxy.reportAllIdle();
            assertEquals(server, proxy.lastServerOf(waiting), "the only server left");
            proxy.advance(2_000);
        }
    }

    @Test
    void ignoresRepeatedAndUnknownOutcomes() {
        Proxy proxy = proxyWithLargeList(false);
        String request = proxy.request(Proxy.SAFE);
        proxy.endAttempt(request, Outcome.OK);
        int actionCount = proxy.actions.size();
        proxy.endAttempt(request, Outcome.RESET);
        proxy.balancer.outcome(proxy.nowUs, "never", 3, "nowhere", Outcome.OK, 1, true, null);
        proxy.balancer.probeResult(proxy.nowUs, "nowhere", Outcome.TIMEOUT, 1, null);
        proxy.balancer.clientGone(proxy.nowUs, request);
        assertEquals(actionCount, proxy.actions.size(), "acted on an unknown request or server");
    }

    @Test
    void aCopyWhoseWholeSubsetIsGoneUsesTheNextServers() {
        Proxy proxy = proxyWithLargeList(false);
        Set<String> subset = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            subset.add(proxy.serve());
        }
        subset.forEach(id -> proxy.change(id, 0, ServerStatus.GONE));
        for (int i = 0; i < 20; i++) {
            String server = proxy.serve();
            assertNotNull(server);
            assertFalse(subset.contains(server), server + " is gone");
        }
    }
}
