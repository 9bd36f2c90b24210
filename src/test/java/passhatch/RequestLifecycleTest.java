package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.setup;

import java.util.List;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.ServerStatus;

/** Each request gets one final answer in time, and nothing is done for it afterwards. */
final class RequestLifecycleTest {

    @Test
    void waitsWithoutAServerAndFailsWhenTimeRunsShort() {
        Proxy p = new Proxy(setup()).startWith();
        String r = p.request(Proxy.UNSAFE);
        p.advance(2_000);
        assertEquals(
                List.of("fail " + r),
                p.actions.stream().filter(d -> !d.startsWith("log ")).toList());
    }

    @Test
    void sendsAQueuedRequestWhenAServerAppears() {
        Proxy p = new Proxy(setup()).startWith();
        String r = p.request(Proxy.SAFE);
        p.change("a", 0, ServerStatus.UP);
        p.advance(390);
        String next = p.request(Proxy.SAFE);
        p.advance(390);
        assertTrue("a".equals(p.lastServerOf(r)) || "a".equals(p.lastServerOf(next)));
    }

    @Test
    void endsBeforeTheDeadlineIfNoServerIsKnown() {
        Proxy p = new Proxy(setup()).startWith();
        String r = p.request(Proxy.SAFE);
        p.advance(1_000);
        assertEquals(1, p.countActions("fail " + r) + p.countActions("refuse " + r));
        p.change("a", 0, ServerStatus.UP);
        p.advance(10_000);
        assertEquals(0, p.countActions("send " + r));
    }

    @Test
    void answersOnceAfterATimeoutAtTheDeadline() {
        Proxy p = new Proxy(setup()).startWith("a");
        String r = p.request(Proxy.UNSAFE);
        p.advance(1_000);
        p.endAttempt(r, Outcome.TIMEOUT);
        p.advance(1_000);
        assertEquals(1, p.countActions("fail " + r));
        assertEquals(1, p.countActions("send " + r));
    }

    @Test
    void doesNothingMoreOnceTheClientHasGone() {
        Proxy p = new Proxy(setup()).startWith("a", "b");
        String r = p.request(Proxy.SAFE);
        p.balancer.clientGone(p.nowUs, r);
        p.endAttempt(r, Outcome.ERROR);
        p.advance(2_000);
        assertEquals(0, p.countActions("fail") + p.countActions("refuse"));
        assertEquals(1, p.countActions("send"));
        assertTrue(p.hasAction("cancel " + r + " 0"));
    }

    @Test
    void ignoresUnknownRequestIds() {
        Proxy p = new Proxy(setup()).startWith("a");
        p.serve();
        int before = p.actions.size();
        p.balancer.clientGone(p.nowUs, "r0");
        p.balancer.outcome(p.nowUs, "r0", 0, "a", Outcome.OK, 1, true, null);
        p.balancer.outcome(p.nowUs, "unknown", 3, "a", Outcome.ERROR, 1, false, null);
        assertEquals(before, p.actions.size());
    }

    @Test
    void neverSendsForARequestThatEndedWhileItWaited() {
        Proxy p = new Proxy(setup()).startWith();
        String r = p.request(Proxy.SAFE);
        p.balancer.clientGone(p.nowUs, r);
        p.change("a", 0, ServerStatus.UP);
        p.advance(2_000);
        assertEquals(0, p.countActions("send"));
    }
}
