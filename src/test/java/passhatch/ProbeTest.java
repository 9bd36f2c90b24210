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

/** Probes ask servers for their load before a request is sent. */
final class ProbeTest {

    private Proxy.Setup setupWithProbes() {
        Proxy.Setup setup = setup();
        setup.probes = true;
        return setup;
    }

    @Test
    void probesTwoServersAndUsesTheFirstFoundIdle() {
        Proxy p = new Proxy(setupWithProbes()).startWith("a", "b", "c", "d");
        p.report("d", 3);
        String r = p.request(Proxy.SAFE);
        assertEquals(2, p.countActions("probe"));
        assertNull(p.lastServerOf(r));
        String busy = p.actions.get(0).substring(6);
        String idle = p.actions.get(1).substring(6);
        p.nowUs += MS;
        p.report(busy, 1);
        assertNull(p.lastServerOf(r));
        p.report(idle, 0);
        assertEquals(idle, p.lastServerOf(r));
    }

    @Test
    void aServerThatIsNeverIdleIsNotProbedFirstEachTime() {
        // Hung servers keep their backlog and were never assigned: each call asked them first,
        // and the
        // load they
        // reported passed for that of all others, until nothing was sent any more.
        Proxy p = new Proxy(setupWithProbes()).startWith("a", "b", "c", "d", "e", "f", "g", "h");
        for (int i = 0; i < 60; i++) {
            int seen = p.actions.size();
            String r = p.request(Proxy.SAFE);
            p.advance(1);
            for (; seen < p.actions.size(); seen++) {
                String line = p.actions.get(seen);
                if (line.startsWith("probe")) {
                    p.report(line.substring(6), line.endsWith("a") || line.endsWith("b") ? 6 : 0);
                }
            }
            p.advance(5);
            assertNotNull(p.lastServerOf(r), "request " + i + " was not sent");
            p.advance(50);
            p.endAttempt(r, Outcome.OK);
            p.advance(500);
        }
        assertTrue(
                p.countActions("probe a") + p.countActions("probe b") < 45,
                "asked in vain: " + p.countActions("probe a"));
    }

    @Test
    void probesOneServerAtATimeUnderLightLoad() {
        // Two probes for each call cost quiet days more than the second one ever found.
        Proxy p = new Proxy(setupWithProbes()).startWith("a", "b", "c", "d");
        String r = p.request(Proxy.SAFE);
        assertEquals(1, p.countActions("probe"));
        String asked = p.actions.get(0).substring(6);
        p.nowUs += MS;
        p.report(asked, 0);
        assertEquals(asked, p.lastServerOf(r));
    }

    /** A copy that has seen some calls served, each of its probes answered idle. */
    private Proxy proxyAfterServedRequests(String... servers) {
        Proxy p = new Proxy(setupWithProbes()).startWith(servers);
        for (int i = 0; i < 12; i++) {
            int seen = p.actions.size();
            String r = p.request(Proxy.SAFE);
            p.advance(1);
            for (; seen < p.actions.size(); seen++) {
                if (p.actions.get(seen).startsWith("probe")) {
                    p.report(p.actions.get(seen).substring(6), 0);
                }
            }
            p.advance(50);
            p.endAttempt(r, Outcome.OK);
            p.advance(100);
        }
        return p;
    }

    /**
     * Answers the probes sent since a line of the record, but none of the servers that are cut off.
     */
    private void answerProbes(Proxy p, int since, int inFlight, String cutOff) {
        for (int i = since; i < p.actions.size(); i++) {
            String[] words = p.actions.get(i).split(" ");
            if (words[0].equals("probe") && !cutOff.contains(words[1])) {
                p.report(words[1], inFlight);
            }
        }
    }

    @Test
    void aServerWithAnOverdueProbeIsNotNextInTurn() {
        // It was asked first because its turn was next; the call went to just the one that kept
        // silent.
        Proxy p = proxyAfterServedRequests("a", "b", "c", "d");
        int seen = p.actions.size();
        String r = p.request(Proxy.SAFE);
        String silent = p.actions.get(seen).substring(6);
        p.advance(50);
        assertNotNull(p.lastServerOf(r));
        assertNotEquals(silent, p.lastServerOf(r));
    }

    @Test
    void amongBusyServersAnUnresponsiveOneComesLast() {
        // In a zone cut off from the others more than half of the servers are out of reach, so
        // not all
        // rest; they drew each call that found the servers in reach busy.
        Proxy p = proxyAfterServedRequests("a", "b", "c");
        for (String cutOff : List.of("a", "b", "a", "b")) {
            p.balancer.probeResult(p.nowUs, cutOff, Outcome.TIMEOUT, 50 * MS, null);
        }
        int seen = p.actions.size();
        String r = p.request(Proxy.SAFE);
        for (int i = 0; i < 4; i++) {
            p.advance(2);
            answerProbes(p, seen, 1, "a b");
            seen = p.actions.size();
        }
        p.advance(10);
        assertEquals("c", p.lastServerOf(r));
    }

    @Test
    void usesAServerIfNoProbeIsAnswered() {
        Proxy p = new Proxy(setupWithProbes()).startWith("a", "b", "c", "d");
        String r = p.request(Proxy.SAFE);
        p.advance(50);
        assertNotNull(p.lastServerOf(r));
    }

    @Test
    void sendsNoProbesWhereTheyAreNotAllowed() {
        Proxy p = new Proxy(setup()).startWith("a", "b");
        p.serve();
        assertEquals(0, p.countActions("probe"));
    }
}
