package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.setup;

import java.util.List;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.ServerStatus;

/** Each request gets one final answer in time, and no action after it. */
final class RequestLifecycleTest {

    @Test
    void waitsWithoutAServerAndFailsWhenTimeRunsShort() {
        Proxy proxy = new Proxy(setup()).startWith();
        String request = proxy.request(Proxy.UNSAFE);
        proxy.advance(2_000);
        assertEquals(
                List.of("fail " + request),
                proxy.actions.stream().filter(d -> !d.startsWith("log ")).toList());
    }

    @Test
    void sendsAQueuedRequestWhenAServerAppears() {
        Proxy proxy = new Proxy(setup()).startWith();
        String request = proxy.request(Proxy.SAFE);
        proxy.change("a", 0, ServerStatus.UP);
        proxy.advance(390);
        String next = proxy.request(Proxy.SAFE);
        proxy.advance(390);
        assertTrue("a".equals(proxy.lastServerOf(request)) || "a".equals(proxy.lastServerOf(next)));
    }

    @Test
    void endsBeforeTheDeadlineIfNoServerIsKnown() {
        Proxy proxy = new Proxy(setup()).startWith();
        String request = proxy.request(Proxy.SAFE);
        proxy.advance(1_000);
        assertEquals(
                1, proxy.countActions("fail " + request) + proxy.countActions("refuse " + request));
        proxy.change("a", 0, ServerStatus.UP);
        proxy.advance(10_000);
        assertEquals(0, proxy.countActions("send " + request));
    }

    @Test
    void answersOnceAfterATimeoutAtTheDeadline() {
        Proxy proxy = new Proxy(setup()).startWith("a");
        String request = proxy.request(Proxy.UNSAFE);
        proxy.advance(1_000);
        proxy.endAttempt(request, Outcome.TIMEOUT);
        proxy.advance(1_000);
        assertEquals(1, proxy.countActions("fail " + request));
        assertEquals(1, proxy.countActions("send " + request));
    }

    @Test
    void doesNothingMoreOnceTheClientHasGone() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        String request = proxy.request(Proxy.SAFE);
        proxy.balancer.clientGone(proxy.nowUs, request);
        proxy.endAttempt(request, Outcome.ERROR);
        proxy.advance(2_000);
        assertEquals(0, proxy.countActions("fail") + proxy.countActions("refuse"));
        assertEquals(1, proxy.countActions("send"));
        assertTrue(proxy.hasAction("cancel " + request + " 0"));
    }

    @Test
    void ignoresUnknownRequestIds() {
        Proxy proxy = new Proxy(setup()).startWith("a");
        proxy.serve();
        int before = proxy.actions.size();
        proxy.balancer.clientGone(proxy.nowUs, "r0");
        proxy.balancer.outcome(proxy.nowUs, "r0", 0, "a", Outcome.OK, 1, true, null);
        proxy.balancer.outcome(proxy.nowUs, "unknown", 3, "a", Outcome.ERROR, 1, false, null);
        assertEquals(before, proxy.actions.size());
    }

    @Test
    void neverSendsForARequestThatEndedWhileItWaited() {
        Proxy proxy = new Proxy(setup()).startWith();
        String request = proxy.request(Proxy.SAFE);
        proxy.balancer.clientGone(proxy.nowUs, request);
        proxy.change("a", 0, ServerStatus.UP);
        proxy.advance(2_000);
        assertEquals(0, proxy.countActions("send"));
    }
}
