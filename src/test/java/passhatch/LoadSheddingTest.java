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

/** Under overload requests that would be late, or are worth the least, are held back or refused. */
final class LoadSheddingTest {

    @Test
    void sendsTheNewestQueuedRequestFirstAndNoneThatWouldProbablyBeLate() {
        // Under overload each call waited its turn to be sent at the last moment, and most
        // answers were
        // late.
        Proxy p = new Proxy(setup()).startWith("a");
        for (int i = 0; i < 12; i++) {
            p.serve();
        }
        List<String> sent = new ArrayList<>();
        List<String> held = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String r = p.request(Proxy.SAFE);
            (p.lastServerOf(r) == null ? held : sent).add(r);
        }
        assertTrue(held.size() > 1, "held: " + held);
        p.advance(100);
        p.endAttempt(sent.get(0), Outcome.OK);
        String newest = held.get(held.size() - 1);
        for (int i = 1; i < sent.size() && p.lastServerOf(newest) == null; i++) {
            p.endAttempt(sent.get(i), Outcome.OK);
        }
        assertNotNull(p.lastServerOf(newest));
        assertNull(p.lastServerOf(held.get(0)));
        p.advance(260);
        for (String r : sent) {
            p.balancer.outcome(p.nowUs, r, 0, "a", Outcome.OK, 360 * MS, true, null);
        }
        for (String r : held) {
            assertTrue(
                    p.lastServerOf(r) != null
                            || p.hasAction("refuse " + r)
                            || p.hasAction("fail " + r),
                    r);
        }
        assertNull(p.lastServerOf(held.get(0)), "sent with 40 of 400 ms left");
    }

    @Test
    void sendsNoRequestThatCouldNotBeAnsweredInTime() {
        // Every copy's queue of late work kept the whole tier busy with answers that came past
        // the aim.
        Proxy p = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 10; i++) {
            p.serve();
        }
        for (int i = 0; i < 60; i++) {
            p.request(Proxy.SAFE);
        }
        int sent = p.countActions("send") - 10;
        assertTrue(sent < 12, "sent at once: " + sent);
        p.advance(1_000);
        assertEquals(
                60,
                sent
                        + p.countActions("fail")
                        + p.countActions("refuse")
                        + p.countActions("send")
                        - 10
                        - sent);
    }

    @Test
    void refusesRequestsOverTheirTenantsQuotaWhileNoServerIsIdle() {
        // Under overload those that earn little took the place of those within their share.
        Proxy.Setup setup = setup();
        setup.quotaPerSecond = 10;
        Proxy p = new Proxy(setup).startWith("a", "b");
        for (int i = 0; i < 12; i++) {
            p.serve();
        }
        for (int i = 0; i < 60; i++) {
            String r = p.request(Proxy.SAFE, 1);
            assertNotNull(p.lastServerOf(r), "an idle server takes all");
            p.advance(1);
            p.endAttempt(r, Outcome.OK);
        }
        p.request(Proxy.SAFE);
        p.request(Proxy.SAFE);
        String beyond = p.request(Proxy.SAFE, 1);
        assertTrue(p.hasAction("refuse " + beyond), "no server is idle");
        assertNotNull(p.lastServerOf(p.request(Proxy.SAFE)), "others come as before");
        p.advance(10_000);
        p.request(Proxy.SAFE);
        p.request(Proxy.SAFE);
        assertNotNull(
                p.lastServerOf(p.request(Proxy.SAFE, 1)), "after a pause there is share again");
    }

    /** How many calls of a class are sent at once to two servers, after some were served. */
    private int countSentAtOnce(Proxy.Setup setup, int kind) {
        Proxy p = new Proxy(setup).startWith("a", "b");
        for (int i = 0; i < 30; i++) {
            p.serve();
        }
        for (int i = 0; i < 40; i++) {
            p.request(kind);
        }
        return p.countActions("send") - 30;
    }

    @Test
    void sendsARequestWorthMoreWhereTheLeastWorthMustWait() {
        Proxy.Setup setup = setup();
        setup.extraClasses =
                List.of(
                        new RequestClass(
                                "dear",
                                400 * MS,
                                1_000 * MS,
                                10,
                                0,
                                Effect.SAFE,
                                DedupGroup.ALL,
                                0));
        Proxy p = new Proxy(setup).startWith("a");
        for (int i = 0; i < 20; i++) {
            p.serve();
        }
        String last = p.request(Proxy.SAFE);
        for (int i = 0; i < 20 && p.lastServerOf(last) != null; i++) {
            last = p.request(Proxy.SAFE);
        }
        assertNull(p.lastServerOf(last), "the least worth crowds without end");
        assertNotNull(p.lastServerOf(p.request(4)), "shed together with the least worth");
    }

    @Test
    void classesWithALongerTargetLatencyUseMoreCapacityOnlyIfWorthMore() {
        // Calls with more time filled all servers until nothing was left for those with less,
        // and the
        // servers choked.
        Proxy.Setup setup = setup();
        setup.extraClasses =
                List.of(
                        new RequestClass(
                                "long", 800 * MS, 1_000 * MS, 1, 0, Effect.SAFE, DedupGroup.ALL, 0),
                        new RequestClass(
                                "dear",
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
        // Calls that take a third of their aim without any crowd were held at servers with one
        // call out.
        Proxy p = new Proxy(setup()).startWith("a");
        for (int i = 0; i < 30; i++) {
            String r = p.request(Proxy.SAFE);
            p.advance(120);
            p.balancer.outcome(p.nowUs, r, 0, "a", Outcome.OK, 120 * MS, true, null);
        }
        p.request(Proxy.SAFE);
        assertEquals("a", p.lastServerOf(p.request(Proxy.SAFE)));
        for (int i = 0; i < 10; i++) {
            p.request(Proxy.SAFE);
        }
        assertTrue(p.countActions("send") < 30 + 6, "a crowd is held back all the same");
    }

    @Test
    void longRequestsDoNotMakeTheirServerLookTooSlowForShortOnes() {
        // Settlements took ten times as long as look-ups, and once these were held back only
        // settlements
        // were left to judge the servers by: look-ups were refused for good, even by idle
        // servers.
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
        Proxy p = new Proxy(setup).startWith("a");
        p.serve();
        for (int i = 0; i < 12; i++) {
            String r = p.request(4);
            p.advance(500);
            p.balancer.outcome(p.nowUs, r, 0, "a", Outcome.OK, 500 * MS, true, null);
        }
        assertEquals("a", p.lastServerOf(p.request(Proxy.SAFE)), "held though its server is idle");
    }

    @Test
    void aLastTryPastItsTargetLatencyIsNotSent() {
        // A last try has all that is left of the client's time, which tells when the first one
        // came; work
        // for answers that were long late went on under overload.
        Proxy p = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 12; i++) {
            p.serve();
        }
        long first = 600 * MS;
        p.balancer.request(p.nowUs, new Request("first", Proxy.SAFE, 0, first, 0, false));
        p.balancer.request(p.nowUs, new Request("again", Proxy.SAFE, 0, first, 0, true));
        p.balancer.request(p.nowUs, new Request("soon", Proxy.SAFE, 0, 900 * MS, 0, true));
        p.balancer.request(p.nowUs, new Request("late", Proxy.SAFE, 0, 500 * MS, 0, true));
        assertNotNull(p.lastServerOf("first"));
        assertNotNull(p.lastServerOf("again"), "a full try tells nothing of the first one");
        assertNotNull(p.lastServerOf("soon"), "100 of 400 ms have passed");
        assertNull(p.lastServerOf("late"), "500 of 400 ms have passed");
        assertTrue(p.hasAction("fail late") || p.hasAction("refuse late"));
    }

    @Test
    void aSlowPeriodDoesNotStopLaterRequests() {
        Proxy p = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 40; i++) {
            String r = p.request(Proxy.SAFE);
            p.advance(900);
            if (p.lastServerOf(r) != null) {
                p.balancer.outcome(
                        p.nowUs, r, 0, p.lastServerOf(r), Outcome.OK, 900 * MS, true, null);
            }
        }
        int before = p.countActions("send");
        for (int i = 0; i < 300; i++) {
            String r = p.request(Proxy.SAFE);
            p.advance(50);
            if (p.lastServerOf(r) != null) {
                p.endAttempt(r, Outcome.OK);
            }
        }
        assertTrue(
                p.countActions("send") - before > 100,
                "sent afterwards: " + (p.countActions("send") - before));
    }
}
