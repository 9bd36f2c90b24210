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

/** Servers that fail, err or do not answer are demoted or enter a cooldown. */
final class OutlierEjectionTest {

    @Test
    void aServerThatFailedOnceIsUsedOnlyWhenAllOthersAreBusy() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c");
        for (int i = 0; i < 3; i++) {
            proxy.serve();
        }
        String request = proxy.request(Proxy.SAFE);
        String bad = proxy.lastServerOf(request);
        proxy.endAttempt(request, Outcome.CONNECT_FAILED);
        proxy.endAttempt(request, Outcome.OK);
        assertNotEquals(bad, proxy.lastServerOf(proxy.request(Proxy.SAFE)));
        assertNotEquals(bad, proxy.lastServerOf(proxy.request(Proxy.SAFE)));
        assertEquals(bad, proxy.lastServerOf(proxy.request(Proxy.SAFE)));
    }

    @Test
    void aServerEntersACooldownAfterConsecutiveFailuresAndReturnsAfterIt() {
        Proxy proxy = new Proxy(setup()).startWith("a");
        for (int i = 0; i < 2; i++) {
            String request = proxy.request(Proxy.SAFE);
            assertEquals("a", proxy.lastServerOf(request));
            proxy.endAttempt(request, Outcome.CONNECT_FAILED);
            proxy.advance(1_000);
        }
        String queued = proxy.request(Proxy.SAFE);
        assertNull(proxy.lastServerOf(queued));
        proxy.advance(4_000);
        assertEquals("a", proxy.lastServerOf(proxy.request(Proxy.SAFE)));
    }

    @Test
    void theCooldownGrowsAtEachFurtherFailure() {
        // Repeated attempts would further load a server whose connections are exhausted.
        Proxy proxy = new Proxy(setup()).startWith("a");
        long[] delays = new long[2];
        for (int i = 0; i < 5; i++) {
            String request = proxy.request(Proxy.SAFE);
            long asked = proxy.nowUs;
            while (proxy.lastServerOf(request) == null) {
                proxy.advance(100);
                request = proxy.lastServerOf(request) == null ? proxy.request(Proxy.SAFE) : request;
            }
            if (i >= 3) {
                delays[i - 3] = proxy.nowUs - asked;
            }
            proxy.endAttempt(request, Outcome.CONNECT_FAILED);
        }
        assertTrue(delays[1] > delays[0] * 3 / 2, delays[0] + " then " + delays[1]);
    }

    /** Sends requests one after another; at each server the given number of twenty is reset. */
    private void sendRequests(Proxy proxy, int requests, Map<String, Integer> resetsInTwenty) {
        Map<String, Integer> turns = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            String request = proxy.request(Proxy.UNSAFE);
            String server = proxy.lastServerOf(request);
            assertNotNull(server, "it waits, as all servers are in cooldown");
            proxy.advance(20);
            boolean reset = turns.merge(server, 1, Integer::sum) % 20 < resetsInTwenty.get(server);
            proxy.endAttempt(request, reset ? Outcome.RESET : Outcome.OK);
        }
    }

    @Test
    void resetsAtAllServersAlikeStartNoCooldown() {
        // Where one connection in ten breaks at every server, two in a row happen by chance.
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c", "d");
        sendRequests(proxy, 60, Map.of("a", 1, "b", 1, "c", 1, "d", 1));
        sendRequests(proxy, 200, Map.of("a", 2, "b", 2, "c", 2, "d", 2));
        assertEquals(0, proxy.countActions("log"), proxy.actions.toString());
    }

    @Test
    void aServerThatResetsAllConnectionsEntersACooldownWhateverTheOthersDo() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c", "d");
        sendRequests(proxy, 200, Map.of("a", 1, "b", 1, "c", 1, "d", 1));
        // The server is demoted for 3 s after each reset, and is used again only then.
        sendRequests(proxy, 1_000, Map.of("a", 20, "b", 1, "c", 1, "d", 1));
        assertTrue(proxy.hasAction("log a rests: connections to it fail or break"));
    }

    @Test
    void serversEnterACooldownIfAllConnectionsBreak() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 200; i++) {
            String request = proxy.request(Proxy.UNSAFE);
            proxy.advance(10);
            if (proxy.lastServerOf(request) != null) {
                proxy.endAttempt(request, Outcome.RESET);
            }
        }
        assertTrue(proxy.countActions("send") < 25, "sent: " + proxy.countActions("send"));
    }

    @Test
    void aServerWithFarMoreErrorsThanTheOthersEntersACooldown() {
        // A server that errs at once always looks idle and would attract ever more requests.
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c", "d");
        int errors = 0;
        for (int i = 0; i < 200; i++) {
            String request = proxy.request(Proxy.UNSAFE);
            proxy.advance(20);
            boolean bad = "a".equals(proxy.lastServerOf(request));
            errors += bad ? 1 : 0;
            proxy.endAttempt(request, bad ? Outcome.ERROR : Outcome.OK);
        }
        assertTrue(errors < 12, "errors: " + errors);
    }

    @Test
    void errorsAtAllServersAlikeStartNoCooldown() {
        // A failing tier below shows as errors at every server; cooldowns would only add to the
        // harm.
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c", "d");
        for (int i = 0; i < 100; i++) {
            String request = proxy.request(Proxy.UNSAFE);
            assertNotNull(proxy.lastServerOf(request));
            proxy.advance(20);
            proxy.endAttempt(request, Outcome.ERROR);
        }
    }

    @Test
    void aServerThatDoesNotAnswerEntersACooldown() {
        // Connections stand and probes are answered, but no request is: only overdue attempts
        // show the failure.
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c", "d");
        for (int i = 0; i < 8; i++) {
            proxy.serve();
        }
        int lost = 0;
        for (int i = 0; i < 40; i++) {
            String request = proxy.request(Proxy.UNSAFE);
            if ("a".equals(proxy.lastServerOf(request))) {
                lost++;
                proxy.advance(1_000);
                proxy.endAttempt(request, Outcome.TIMEOUT);
            } else {
                proxy.advance(50);
                proxy.endAttempt(request, Outcome.OK);
            }
        }
        assertTrue(lost <= 3, "requests lost: " + lost);
    }

    @Test
    void anOverdueAttemptPostponesItsServersTurnBeyondTheDemotion() {
        // A round of a copy with few requests lasts longer than a demotion, so by demotions alone
        // overloaded servers would keep their full share of the requests.
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c", "d", "e", "f");
        for (int i = 0; i < 12; i++) {
            proxy.serve();
            proxy.advance(700);
        }
        String overdue = proxy.request(Proxy.UNSAFE);
        String slow = proxy.lastServerOf(overdue);
        proxy.advance(700);
        proxy.endAttempt(overdue, Outcome.OK);
        proxy.advance(3_000);
        for (int i = 0; i < 8; i++) {
            assertNotEquals(slow, proxy.serve(), "request " + i + " afterwards");
            proxy.advance(700);
        }
    }
}
