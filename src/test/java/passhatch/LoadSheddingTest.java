package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.MS;
import static passhatch.Proxy.setup;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.DedupGroup;
import passhatch.Balancer.Effect;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Request;
import passhatch.Balancer.RequestClass;

/** Under overload, requests that would be late or are worth the least are queued or refused. */
final class LoadSheddingTest {

    @Test
    void sendsTheNewestQueuedRequestFirstAndNoneThatWouldProbablyBeLate() {
        // In order of arrival each request would be sent at the last moment, and most responses
        // would be late.
        Proxy proxy = new Proxy(setup()).startWith("a");
        for (int i = 0; i < 12; i++) {
            proxy.serve();
        }
        List<String> sent = new ArrayList<>();
        List<String> queued = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String request = proxy.request(Proxy.SAFE);
            (proxy.lastServerOf(request) == null ? queued : sent).add(request);
        }
        assertTrue(queued.size() > 1, "queued: " + queued);
        proxy.advance(100);
        proxy.endAttempt(sent.get(0), Outcome.OK);
        String newest = queued.get(queued.size() - 1);
        for (int i = 1; i < sent.size() && proxy.lastServerOf(newest) == null; i++) {
            proxy.endAttempt(sent.get(i), Outcome.OK);
        }
        assertNotNull(proxy.lastServerOf(newest));
        assertNull(proxy.lastServerOf(queued.get(0)));
        proxy.advance(260);
        for (String request : sent) {
            proxy.balancer.outcome(proxy.nowUs, request, 0, "a", Outcome.OK, 360 * MS, true, null);
        }
        for (String request : queued) {
            assertTrue(
                    proxy.lastServerOf(request) != null
                            || proxy.hasAction("refuse " + request)
                            || proxy.hasAction("fail " + request),
                    request);
        }
        assertNull(proxy.lastServerOf(queued.get(0)), "sent with 40 of 400 ms left");
    }

    @Test
    void sendsNoRequestThatCouldNotBeAnsweredInTime() {
        // Queued late work of every copy would keep the whole tier busy with responses past the
        // target latency.
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 10; i++) {
            proxy.serve();
        }
        for (int i = 0; i < 60; i++) {
            proxy.request(Proxy.SAFE);
        }
        int sent = proxy.countActions("send") - 10;
        assertTrue(sent < 12, "sent at once: " + sent);
        proxy.advance(1_000);
        assertEquals(
                60,
                sent
                        + proxy.countActions("fail")
                        + proxy.countActions("refuse")
                        + proxy.countActions("send")
                        - 10
                        - sent);
    }

    @Test
    void refusesRequestsOverTheirTenantsQuotaWhileNoServerIsIdle() {
        // Otherwise requests of little worth would displace those within their quota.
        Proxy.Setup setup = setup();
        setup.quotaPerSecond = 10;
        Proxy proxy = new Proxy(setup).startWith("a", "b");
        for (int i = 0; i < 12; i++) {
            proxy.serve();
        }
        for (int i = 0; i < 60; i++) {
            String request = proxy.request(Proxy.SAFE, 1);
            assertNotNull(proxy.lastServerOf(request), "an idle server takes any request");
            proxy.advance(1);
            proxy.endAttempt(request, Outcome.OK);
        }
        proxy.request(Proxy.SAFE);
        proxy.request(Proxy.SAFE);
        String overQuota = proxy.request(Proxy.SAFE, 1);
        assertTrue(
                proxy.hasAction("refuse " + overQuota), "sent over quota while no server was idle");
        assertNotNull(
                proxy.lastServerOf(proxy.request(Proxy.SAFE)), "other tenants are not affected");
        proxy.advance(10_000);
        proxy.request(Proxy.SAFE);
        proxy.request(Proxy.SAFE);
        assertNotNull(
                proxy.lastServerOf(proxy.request(Proxy.SAFE, 1)),
                "after a pause the quota is available again");
    }

    /**
     * Serves 30 requests with two servers, then returns how many of 40 concurrent requests of a
     * class are sent at once.
     */
    private int countSentAtOnce(Proxy.Setup setup, int requestClass) {
        Proxy proxy = new Proxy(setup).startWith("a", "b");
        for (int i = 0; i < 30; i++) {
            proxy.serve();
        }
        for (int i = 0; i < 40; i++) {
            proxy.request(requestClass);
        }
        return proxy.countActions("send") - 30;
    }

    @Test
    void sendsARequestWorthMoreWhereTheLeastWorthMustWait() {
        Proxy.Setup setup = setup();
        setup.extraClasses =
                List.of(
                        new RequestClass(
                                "valuable",
                                400 * MS,
                                1_000 * MS,
                                10,
                                0,
                                Effect.SAFE,
                                DedupGroup.ALL,
                                0));
        Proxy proxy = new Proxy(setup).startWith("a");
        for (int i = 0; i < 20; i++) {
            proxy.serve();
        }
        String last = proxy.request(Proxy.SAFE);
        for (int i = 0; i < 20 && proxy.lastServerOf(last) != null; i++) {
            last = proxy.request(Proxy.SAFE);
        }
        assertNull(proxy.lastServerOf(last), "requests of the least worth are not limited");
        assertNotNull(proxy.lastServerOf(proxy.request(4)), "shed together with the least worth");
    }

    @Test
    void classesWithALongerTargetLatencyUseMoreCapacityOnlyIfWorthMore() {
        // Otherwise requests with more time would fill all servers, leave no capacity for those
        // with less, and overload the servers.
        Proxy.Setup setup = setup();
        setup.extraClasses =
                List.of(
                        new RequestClass(
                                "long", 800 * MS, 1_000 * MS, 1, 0, Effect.SAFE, DedupGroup.ALL, 0),
                        new RequestClass(
                                "valuable",
                                800 * MS,
                                1_000 * MS,
                                2,
                                0,
                                Effect.SAFE,
                                DedupGroup.ALL,
                                0));
        int usual = countSentAtOnce(setup, Proxy.SAFE);
        assertEquals(usual, countSentAtOnce(setup, 4));
        assertTrue(countSentAtOnce(setup, 5) > usual);
    }

    @Test
    void theBaselineLatencyDoesNotCountAsWaiting() {
        // Requests that take a third of their target latency without congestion must not be
        // queued because a server has one request in flight.
        Proxy proxy = new Proxy(setup()).startWith("a");
        for (int i = 0; i < 30; i++) {
            String request = proxy.request(Proxy.SAFE);
            proxy.advance(120);
            proxy.balancer.outcome(proxy.nowUs, request, 0, "a", Outcome.OK, 120 * MS, true, null);
        }
        proxy.request(Proxy.SAFE);
        assertEquals("a", proxy.lastServerOf(proxy.request(Proxy.SAFE)));
        for (int i = 0; i < 10; i++) {
            proxy.request(Proxy.SAFE);
        }
        assertTrue(proxy.countActions("send") < 30 + 6, "congestion is still limited");
    }

    @Test
    void longRequestsDoNotMakeTheirServerLookTooSlowForShortOnes() {
        // Requests of one class took ten times as long as those of another. Once the short ones
        // were queued, only long ones were left to measure the servers by, and short ones were
        // refused for good, even with idle servers.
        Proxy.Setup setup = setup();
        setup.extraClasses =
                List.of(
                        new RequestClass(
                                "long",
                                2_000 * MS,
                                4_000 * MS,
                                3,
                                0.3,
                                Effect.SAFE,
                                DedupGroup.ALL,
                                0));
        Proxy proxy = new Proxy(setup).startWith("a");
        proxy.serve();
        for (int i = 0; i < 12; i++) {
            String request = proxy.request(4);
            proxy.advance(500);
            proxy.balancer.outcome(proxy.nowUs, request, 0, "a", Outcome.OK, 500 * MS, true, null);
        }
        assertEquals(
                "a",
                proxy.lastServerOf(proxy.request(Proxy.SAFE)),
                "queued although its server is idle");
    }

    @Test
    void aLastTryPastItsTargetLatencyIsNotSent() {
        // A last try is given all the time that the client has left, which tells when the first
        // one came. Otherwise work for responses that are long late would go on under overload.
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 12; i++) {
            proxy.serve();
        }
        long first = 600 * MS;
        proxy.balancer.request(proxy.nowUs, new Request("first", Proxy.SAFE, 0, first, 0, false));
        proxy.balancer.request(proxy.nowUs, new Request("again", Proxy.SAFE, 0, first, 0, true));
        proxy.balancer.request(proxy.nowUs, new Request("soon", Proxy.SAFE, 0, 900 * MS, 0, true));
        proxy.balancer.request(proxy.nowUs, new Request("late", Proxy.SAFE, 0, 500 * MS, 0, true));
        assertNotNull(proxy.lastServerOf("first"));
        assertNotNull(
                proxy.lastServerOf("again"),
                "a try with the full time does not tell when the first one came");
        assertNotNull(proxy.lastServerOf("soon"), "100 of 400 ms have passed");
        assertNull(proxy.lastServerOf("late"), "500 of 400 ms have passed");
        assertTrue(proxy.hasAction("fail late") || proxy.hasAction("refuse late"));
    }

    @Test
    void aSlowPeriodDoesNotStopLaterRequests() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 40; i++) {
            String request = proxy.request(Proxy.SAFE);
            proxy.advance(900);
            if (proxy.lastServerOf(request) != null) {
                proxy.balancer.outcome(
                        proxy.nowUs,
                        request,
                        0,
                        proxy.lastServerOf(request),
                        Outcome.OK,
                        900 * MS,
                        true,
                        null);
            }
        }
        int before = proxy.countActions("send");
        for (int i = 0; i < 300; i++) {
            String request = proxy.request(Proxy.SAFE);
            proxy.advance(50);
            if (proxy.lastServerOf(request) != null) {
                proxy.endAttempt(request, Outcome.OK);
            }
        }
        assertTrue(
                proxy.countActions("send") - before > 100,
                "sent afterwards: " + (proxy.countActions("send") - before));
    }
}
