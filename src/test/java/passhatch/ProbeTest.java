package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.MS;
import static passhatch.Proxy.setup;

import java.util.List;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;

/** Probes that ask servers for their load before a request is sent. */
final class ProbeTest {

    private Proxy.Setup setupWithProbes() {
        Proxy.Setup setup = setup();
        setup.probes = true;
        return setup;
    }

    @Test
    void probesTwoServersAndUsesTheFirstFoundIdle() {
        Proxy proxy = new Proxy(setupWithProbes()).startWith("a", "b", "c", "d");
        proxy.report("d", 3);
        String request = proxy.request(Proxy.SAFE);
        assertEquals(2, proxy.countActions("probe"));
        assertNull(proxy.lastServerOf(request));
        String busy = proxy.actions.get(0).substring(6);
        String idle = proxy.actions.get(1).substring(6);
        proxy.nowUs += MS;
        proxy.report(busy, 1);
        assertNull(proxy.lastServerOf(request));
        proxy.report(idle, 0);
        assertEquals(idle, proxy.lastServerOf(request));
    }

    @Test
    void aServerThatIsNeverIdleIsNotProbedFirstEachTime() {
        // Hung servers keep their backlog and are never assigned. If each request probed them
        // first, their reported load would be taken for that of all servers, until nothing was sent
        // any more.
        Proxy proxy =
                new Proxy(setupWithProbes()).startWith("a", "b", "c", "d", "e", "f", "g", "h");
        for (int i = 0; i < 60; i++) {
            int seen = proxy.actions.size();
            String request = proxy.request(Proxy.SAFE);
            proxy.advance(1);
            for (; seen < proxy.actions.size(); seen++) {
                String line = proxy.actions.get(seen);
                if (line.startsWith("probe")) {
                    proxy.report(
                            line.substring(6), line.endsWith("a") || line.endsWith("b") ? 6 : 0);
                }
            }
            proxy.advance(5);
            assertNotNull(proxy.lastServerOf(request), "request " + i + " was not sent");
            proxy.advance(50);
            proxy.endAttempt(request, Outcome.OK);
            proxy.advance(500);
        }
        assertTrue(
                proxy.countActions("probe a") + proxy.countActions("probe b") < 45,
                "probed in vain: " + proxy.countActions("probe a"));
    }

    @Test
    void probesOneServerAtATimeUnderLightLoad() {
        // Under light load a second probe per request costs more than it gains.
        Proxy proxy = new Proxy(setupWithProbes()).startWith("a", "b", "c", "d");
        String request = proxy.request(Proxy.SAFE);
        assertEquals(1, proxy.countActions("probe"));
        String asked = proxy.actions.get(0).substring(6);
        proxy.nowUs += MS;
        proxy.report(asked, 0);
        assertEquals(asked, proxy.lastServerOf(request));
    }

    /** Returns a proxy after some served requests, with each of its probes answered as idle. */
    private Proxy proxyAfterServedRequests(String... servers) {
        Proxy proxy = new Proxy(setupWithProbes()).startWith(servers);
        for (int i = 0; i < 12; i++) {
            int seen = proxy.actions.size();
            String request = proxy.request(Proxy.SAFE);
            proxy.advance(1);
            for (; seen < proxy.actions.size(); seen++) {
                if (proxy.actions.get(seen).startsWith("probe")) {
                    proxy.report(proxy.actions.get(seen).substring(6), 0);
                }
            }
            proxy.advance(50);
            proxy.endAttempt(request, Outcome.OK);
            proxy.advance(100);
        }
        return proxy;
    }

    /** Answers the probes sent since the given action, except those to unreachable servers. */
    private void answerProbes(Proxy proxy, int since, int inFlight, String unreachable) {
        for (int i = since; i < proxy.actions.size(); i++) {
            String[] words = proxy.actions.get(i).split(" ");
            if (words[0].equals("probe") && !unreachable.contains(words[1])) {
                proxy.report(words[1], inFlight);
            }
        }
    }

    @Test
    void aServerWithAnOverdueProbeIsNotNextInTurn() {
        // It was probed first because its turn is next, so the request would go to the very server
        // that does not answer.
        Proxy proxy = proxyAfterServedRequests("a", "b", "c", "d");
        int seen = proxy.actions.size();
        String request = proxy.request(Proxy.SAFE);
        String unresponsive = proxy.actions.get(seen).substring(6);
        proxy.advance(50);
        assertNotNull(proxy.lastServerOf(request));
        assertNotEquals(unresponsive, proxy.lastServerOf(request));
    }

    @Test
    void amongBusyServersAnUnresponsiveOneComesLast() {
        // In a partitioned zone more than half of the servers are unreachable, so not all of them
        // enter a cooldown. They must not attract each request that finds the others busy.
        Proxy proxy = proxyAfterServedRequests("a", "b", "c");
        for (String unreachable : List.of("a", "b", "a", "b")) {
            proxy.balancer.probeResult(proxy.nowUs, unreachable, Outcome.TIMEOUT, 50 * MS, null);
        }
        int seen = proxy.actions.size();
        String request = proxy.request(Proxy.SAFE);
        for (int i = 0; i < 4; i++) {
            proxy.advance(2);
            answerProbes(proxy, seen, 1, "a b");
            seen = proxy.actions.size();
        }
        proxy.advance(10);
        assertEquals("c", proxy.lastServerOf(request));
    }

    @Test
    void usesAServerIfNoProbeIsAnswered() {
        Proxy proxy = new Proxy(setupWithProbes()).startWith("a", "b", "c", "d");
        String request = proxy.request(Proxy.SAFE);
        proxy.advance(50);
        assertNotNull(proxy.lastServerOf(request));
    }

    @Test
    void sendsNoProbesWhereTheyAreNotAllowed() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        proxy.serve();
        assertEquals(0, proxy.countActions("probe"));
    }
}
