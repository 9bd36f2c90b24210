package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.MS;
import static passhatch.Proxy.setup;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/** Draining servers and changes to discovery's list of servers. */
final class ServerListTest {

    @Test
    void countsTheAvoidedServersOfTheList() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c", "d");
        assertEquals(0, proxy.balancer.hostsDown(proxy.nowUs));
        proxy.change("a", 0, ServerStatus.DRAINING);
        proxy.change("a", 0, ServerStatus.DRAINING);
        assertEquals(1, proxy.balancer.hostsDown(proxy.nowUs));
        String request = proxy.request(Proxy.SAFE);
        proxy.endAttempt(request, Outcome.CONNECT_FAILED);
        assertEquals(2, proxy.balancer.hostsDown(proxy.nowUs), "one drains, one failed");
        proxy.advance(60_000);
        proxy.change("a", 0, ServerStatus.GONE);
        assertEquals(0, proxy.balancer.hostsDown(proxy.nowUs));
    }

    @Test
    void sendsNothingToAServerThatDrainsIsGoneOrIsMissing() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c", "d");
        proxy.change("a", 0, ServerStatus.DRAINING);
        proxy.change("b", 0, ServerStatus.GONE);
        proxy.balancer.serversChanged(
                proxy.nowUs,
                ListKind.WHOLE,
                List.of(
                        new Server("a", 0, 0, 0, ServerStatus.DRAINING),
                        new Server("d", 0, 0, 0, ServerStatus.UP)));
        for (int i = 0; i < 10; i++) {
            assertEquals("d", proxy.lastServerOf(proxy.request(Proxy.SAFE)));
            proxy.advance(20);
            proxy.endAttempt("r" + i, Outcome.OK);
        }
    }

    private Proxy proxyThatClosesConnections() {
        Proxy.Setup setup = setup();
        setup.closeWithinUs = 1_000 * MS;
        return new Proxy(setup).startWith("a", "b", "c");
    }

    @Test
    void closesIdleConnectionsAtADrainNoticeAndAfterTheLastOutcome() {
        Proxy proxy = proxyThatClosesConnections();
        List<String> all =
                List.of(
                        proxy.request(Proxy.SAFE),
                        proxy.request(Proxy.SAFE),
                        proxy.request(Proxy.SAFE));
        String toA =
                all.stream()
                        .filter(request -> proxy.lastServerOf(request).equals("a"))
                        .findFirst()
                        .orElseThrow();
        proxy.balancer.serversChanged(
                proxy.nowUs,
                ListKind.CHANGES,
                List.of(
                        new Server("a", 0, 0, 0, ServerStatus.DRAINING),
                        new Server("b", 0, 0, 0, ServerStatus.DRAINING)));
        assertEquals(
                List.of(1, 1, 0),
                List.of(
                        proxy.countActions("close a"),
                        proxy.countActions("close b"),
                        proxy.countActions("close c")));
        proxy.balancer.serversChanged(
                proxy.nowUs, ListKind.WHOLE, List.of(new Server("c", 0, 0, 0, ServerStatus.UP)));
        proxy.advance(100);
        proxy.endAttempt(toA, Outcome.OK);
        assertEquals(2, proxy.countActions("close a"), "not closed after its last outcome");
    }

    @Test
    void keepsConnectionsOpenWithoutACloseTimeAndToAServerThatReturned() {
        Proxy proxy = new Proxy(setup()).startWith("a");
        proxy.change("a", 0, ServerStatus.DRAINING);
        assertEquals(0, proxy.countActions("close"));
        proxy = proxyThatClosesConnections();
        String request = proxy.request(Proxy.SAFE);
        String at = proxy.lastServerOf(request);
        proxy.change(at, 0, ServerStatus.DRAINING);
        proxy.change(at, 0, ServerStatus.UP);
        proxy.endAttempt(request, Outcome.OK);
        assertEquals(1, proxy.countActions("close"));
    }

    @Test
    void aServerThatLeavesAndReturnsKeepsItsInFlightCount() {
        Proxy proxy = proxyThatClosesConnections();
        String request = proxy.request(Proxy.SAFE);
        String at = proxy.lastServerOf(request);
        proxy.change(at, 0, ServerStatus.GONE);
        proxy.change(at, 0, ServerStatus.UP);
        Set<String> taken =
                new HashSet<>(
                        List.of(
                                proxy.lastServerOf(proxy.request(Proxy.SAFE)),
                                proxy.lastServerOf(proxy.request(Proxy.SAFE))));
        assertFalse(taken.contains(at), "taken for idle with an attempt in flight");
    }

    @Test
    void retriesDiscoveryWithGrowingDelays() {
        Proxy.Setup setup = setup();
        setup.watch = true;
        Proxy proxy = new Proxy(setup).startWith("a");
        assertEquals(1, proxy.countActions("watch"));
        long last = 0;
        for (int i = 1; i < 6; i++) {
            proxy.balancer.discoveryFailed(proxy.nowUs);
            long failed = proxy.nowUs;
            while (proxy.countActions("watch") == i) {
                proxy.advance(10);
            }
            last = proxy.nowUs - failed;
            assertTrue(last < 8_000 * MS, "delay " + last);
        }
        assertTrue(last > 500 * MS, "delay " + last);
    }

    @Test
    void doesNotWatchTheListWhereItIsPushed() {
        Proxy proxy = new Proxy(setup()).startWith("a");
        proxy.balancer.discoveryFailed(proxy.nowUs);
        assertEquals(0, proxy.countActions("watch"));
    }
}
