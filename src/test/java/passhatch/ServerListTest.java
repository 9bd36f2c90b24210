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

/** Drains are kept, and the list of discovery is followed. */
final class ServerListTest {

    @Test
    void countsTheAvoidedServersOfTheList() {
        Proxy p = new Proxy(setup()).startWith("a", "b", "c", "d");
        assertEquals(0, p.balancer.hostsDown(p.nowUs));
        p.change("a", 0, ServerStatus.DRAINING);
        p.change("a", 0, ServerStatus.DRAINING);
        assertEquals(1, p.balancer.hostsDown(p.nowUs));
        String r = p.request(Proxy.SAFE);
        p.endAttempt(r, Outcome.CONNECT_FAILED);
        assertEquals(2, p.balancer.hostsDown(p.nowUs), "one drains, one failed");
        p.advance(60_000);
        p.change("a", 0, ServerStatus.GONE);
        assertEquals(0, p.balancer.hostsDown(p.nowUs));
    }

    @Test
    void sendsNothingToAServerThatDrainsIsGoneOrIsMissing() {
        Proxy p = new Proxy(setup()).startWith("a", "b", "c", "d");
        p.change("a", 0, ServerStatus.DRAINING);
        p.change("b", 0, ServerStatus.GONE);
        p.balancer.serversChanged(
                p.nowUs,
                ListKind.WHOLE,
                List.of(
                        new Server("a", 0, 0, 0, ServerStatus.DRAINING),
                        new Server("d", 0, 0, 0, ServerStatus.UP)));
        for (int i = 0; i < 10; i++) {
            assertEquals("d", p.lastServerOf(p.request(Proxy.SAFE)));
            p.advance(20);
            p.endAttempt("r" + i, Outcome.OK);
        }
    }

    private Proxy proxyThatClosesConnections() {
        Proxy.Setup setup = setup();
        setup.closeWithinUs = 1_000 * MS;
        return new Proxy(setup).startWith("a", "b", "c");
    }

    @Test
    void closesIdleConnectionsAtADrainNoticeAndAfterTheLastOutcome() {
        Proxy p = proxyThatClosesConnections();
        List<String> all =
                List.of(p.request(Proxy.SAFE), p.request(Proxy.SAFE), p.request(Proxy.SAFE));
        String toA =
                all.stream().filter(r -> p.lastServerOf(r).equals("a")).findFirst().orElseThrow();
        p.balancer.serversChanged(
                p.nowUs,
                ListKind.CHANGES,
                List.of(
                        new Server("a", 0, 0, 0, ServerStatus.DRAINING),
                        new Server("b", 0, 0, 0, ServerStatus.DRAINING)));
        assertEquals(
                List.of(1, 1, 0),
                List.of(
                        p.countActions("close a"),
                        p.countActions("close b"),
                        p.countActions("close c")));
        p.balancer.serversChanged(
                p.nowUs, ListKind.WHOLE, List.of(new Server("c", 0, 0, 0, ServerStatus.UP)));
        p.advance(100);
        p.endAttempt(toA, Outcome.OK);
        assertEquals(2, p.countActions("close a"), "not closed once its last call ended");
    }

    @Test
    void keepsConnectionsOpenWithoutACloseTimeAndToAServerThatReturned() {
        Proxy p = new Proxy(setup()).startWith("a");
        p.change("a", 0, ServerStatus.DRAINING);
        assertEquals(0, p.countActions("close"));
        p = proxyThatClosesConnections();
        String r = p.request(Proxy.SAFE);
        String at = p.lastServerOf(r);
        p.change(at, 0, ServerStatus.DRAINING);
        p.change(at, 0, ServerStatus.UP);
        p.endAttempt(r, Outcome.OK);
        assertEquals(1, p.countActions("close"));
    }

    @Test
    void aServerThatLeavesAndReturnsKeepsItsInFlightCount() {
        Proxy p = proxyThatClosesConnections();
        String r = p.request(Proxy.SAFE);
        String at = p.lastServerOf(r);
        p.change(at, 0, ServerStatus.GONE);
        p.change(at, 0, ServerStatus.UP);
        Set<String> taken =
                new HashSet<>(
                        List.of(
                                p.lastServerOf(p.request(Proxy.SAFE)),
                                p.lastServerOf(p.request(Proxy.SAFE))));
        assertFalse(taken.contains(at), "passed for idle with a call out");
    }

    @Test
    void retriesDiscoveryWithGrowingDelays() {
        Proxy.Setup setup = setup();
        setup.watch = true;
        Proxy p = new Proxy(setup).startWith("a");
        assertEquals(1, p.countActions("watch"));
        long last = 0;
        for (int i = 1; i < 6; i++) {
            p.balancer.discoveryFailed(p.nowUs);
            long failed = p.nowUs;
            while (p.countActions("watch") == i) {
                p.advance(10);
            }
            last = p.nowUs - failed;
            assertTrue(last < 8_000 * MS, "pause " + last);
        }
        assertTrue(last > 500 * MS, "pause " + last);
    }

    @Test
    void doesNotWatchTheListWhereItIsPushed() {
        Proxy p = new Proxy(setup()).startWith("a");
        p.balancer.discoveryFailed(p.nowUs);
        assertEquals(0, p.countActions("watch"));
    }
}
