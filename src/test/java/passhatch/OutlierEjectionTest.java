package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.setup;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;

/** Servers that fail, err or stay silent are demoted or rest for a while. */
final class OutlierEjectionTest {

    @Test
    void aServerThatFailedOnceIsUsedOnlyWhenAllOthersAreBusy() {
        Proxy p = new Proxy(setup()).startWith("a", "b", "c");
        for (int i = 0; i < 3; i++) {
            p.serve();
        }
        String r = p.request(Proxy.SAFE);
        String bad = p.lastServerOf(r);
        p.endAttempt(r, Outcome.CONNECT_FAILED);
        p.endAttempt(r, Outcome.OK);
        assertNotEquals(bad, p.lastServerOf(p.request(Proxy.SAFE)));
        assertNotEquals(bad, p.lastServerOf(p.request(Proxy.SAFE)));
        assertEquals(bad, p.lastServerOf(p.request(Proxy.SAFE)));
    }

    @Test
    void aServerEntersACooldownAfterConsecutiveFailuresAndReturnsAfterIt() {
        Proxy p = new Proxy(setup()).startWith("a");
        for (int i = 0; i < 2; i++) {
            String r = p.request(Proxy.SAFE);
            assertEquals("a", p.lastServerOf(r));
            p.endAttempt(r, Outcome.CONNECT_FAILED);
            p.advance(1_000);
        }
        String held = p.request(Proxy.SAFE);
        assertNull(p.lastServerOf(held));
        p.advance(4_000);
        assertEquals("a", p.lastServerOf(p.request(Proxy.SAFE)));
    }

    @Test
    void theCooldownGrowsAtEachFurtherFailure() {
        // A server whose connections are all taken would be crowded further by ever more tries.
        Proxy p = new Proxy(setup()).startWith("a");
        long[] pauses = new long[2];
        for (int i = 0; i < 5; i++) {
            String r = p.request(Proxy.SAFE);
            long asked = p.nowUs;
            while (p.lastServerOf(r) == null) {
                p.advance(100);
                r = p.lastServerOf(r) == null ? p.request(Proxy.SAFE) : r;
            }
            if (i >= 3) {
                pauses[i - 3] = p.nowUs - asked;
            }
            p.endAttempt(r, Outcome.CONNECT_FAILED);
        }
        assertTrue(pauses[1] > pauses[0] * 3 / 2, pauses[0] + " then " + pauses[1]);
    }

    /** Plays calls one after another; at each server so many of twenty in a row break. */
    private void sendRequests(Proxy p, int calls, Map<String, Integer> breaksInTwenty) {
        Map<String, Integer> turns = new HashMap<>();
        for (int i = 0; i < calls; i++) {
            String r = p.request(Proxy.UNSAFE);
            String server = p.lastServerOf(r);
            assertNotNull(server, "it waits, as all servers rest");
            p.advance(20);
            boolean breaks = turns.merge(server, 1, Integer::sum) % 20 < breaksInTwenty.get(server);
            p.endAttempt(r, breaks ? Outcome.RESET : Outcome.OK);
        }
    }

    @Test
    void resetsAtAllServersAlikeStartNoCooldown() {
        // Where one connection in ten breaks at every server, two in a row are chance.
        Proxy p = new Proxy(setup()).startWith("a", "b", "c", "d");
        sendRequests(p, 60, Map.of("a", 1, "b", 1, "c", 1, "d", 1));
        sendRequests(p, 200, Map.of("a", 2, "b", 2, "c", 2, "d", 2));
        assertEquals(0, p.countActions("log"), p.actions.toString());
    }

    @Test
    void aServerThatResetsAllConnectionsEntersACooldownWhateverTheOthersDo() {
        Proxy p = new Proxy(setup()).startWith("a", "b", "c", "d");
        sendRequests(p, 200, Map.of("a", 1, "b", 1, "c", 1, "d", 1));
        // It is demoted for 3 s after each, so the next try comes only then.
        sendRequests(p, 1_000, Map.of("a", 20, "b", 1, "c", 1, "d", 1));
        assertTrue(p.hasAction("log a rests: connections to it fail or break"));
    }

    @Test
    void serversEnterACooldownIfAllConnectionsBreak() {
        Proxy p = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 200; i++) {
            String r = p.request(Proxy.UNSAFE);
            p.advance(10);
            if (p.lastServerOf(r) != null) {
                p.endAttempt(r, Outcome.RESET);
            }
        }
        assertTrue(p.countActions("send") < 25, "sent: " + p.countActions("send"));
    }

    @Test
    void aServerWithFarMoreErrorsThanTheOthersEntersACooldown() {
        // A server that errs at once is always idle: it would draw ever more calls.
        Proxy p = new Proxy(setup()).startWith("a", "b", "c", "d");
        int errors = 0;
        for (int i = 0; i < 200; i++) {
            String r = p.request(Proxy.UNSAFE);
            p.advance(20);
            boolean bad = "a".equals(p.lastServerOf(r));
            errors += bad ? 1 : 0;
            p.endAttempt(r, bad ? Outcome.ERROR : Outcome.OK);
        }
        assertTrue(errors < 12, "errors: " + errors);
    }

    @Test
    void errorsAtAllServersAlikeStartNoCooldown() {
        // A failing tier below shows as errors at every server: resting them would only add to
        // the harm.
        Proxy p = new Proxy(setup()).startWith("a", "b", "c", "d");
        for (int i = 0; i < 100; i++) {
            String r = p.request(Proxy.UNSAFE);
            assertNotNull(p.lastServerOf(r));
            p.advance(20);
            p.endAttempt(r, Outcome.ERROR);
        }
    }

    @Test
    void aServerThatDoesNotAnswerEntersACooldown() {
        // Connections stand and probes are answered, yet no call is: only overdue calls tell.
        Proxy p = new Proxy(setup()).startWith("a", "b", "c", "d");
        for (int i = 0; i < 8; i++) {
            p.serve();
        }
        int lost = 0;
        for (int i = 0; i < 40; i++) {
            String r = p.request(Proxy.UNSAFE);
            if ("a".equals(p.lastServerOf(r))) {
                lost++;
                p.advance(1_000);
                p.endAttempt(r, Outcome.TIMEOUT);
            } else {
                p.advance(50);
                p.endAttempt(r, Outcome.OK);
            }
        }
        assertTrue(lost <= 3, "calls lost: " + lost);
    }

    @Test
    void anOverdueAttemptPostponesItsServersTurnBeyondTheDemotion() {
        // Copies with few calls came round less often than a demotion lasts, so choked servers
        // kept their
        // full part of the calls.
        Proxy p = new Proxy(setup()).startWith("a", "b", "c", "d", "e", "f");
        for (int i = 0; i < 12; i++) {
            p.serve();
            p.advance(700);
        }
        String stuck = p.request(Proxy.UNSAFE);
        String slow = p.lastServerOf(stuck);
        p.advance(700);
        p.endAttempt(stuck, Outcome.OK);
        p.advance(3_000);
        for (int i = 0; i < 8; i++) {
            assertNotEquals(slow, p.serve(), "call " + i + " afterwards");
            p.advance(700);
        }
    }
}
