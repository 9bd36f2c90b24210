package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static passhatch.Proxy.MS;
import static passhatch.Proxy.setup;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;

/** Requests and responses whose bodies are streamed. */
final class StreamedBodyTest {

    /** Time after which a server responds in {@link Proxy#serve}, in milliseconds. */
    private static final long USUAL_LATENCY_MS = 50;

    @Test
    void aRequestWithoutItsBodyIsNotRetriedThoughItsClassIsSafe() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c");
        String request = proxy.request(Proxy.SAFE);
        proxy.balancer.bodySpent(proxy.nowUs, request);
        proxy.endAttempt(request, Outcome.CONNECT_FAILED);
        assertEquals(1, proxy.attempts.get(request));
        assertEquals(
                1,
                proxy.countActions("refuse " + request),
                "it did not run, so its client may retry");
    }

    @Test
    void noResponseIsDueWhileTheBodyIsBeingSent() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 30; i++) {
            proxy.serve();
        }
        String request = proxy.request(Proxy.SAFE);
        proxy.balancer.bodySpent(proxy.nowUs, request);
        proxy.advance(900);
        assertEquals(0, proxy.balancer.hostsDown(proxy.nowUs));
        proxy.balancer.bodyWritten(proxy.nowUs, request, 0);
        proxy.advance(900);
        assertEquals(1, proxy.balancer.hostsDown(proxy.nowUs), "its response is overdue");
    }

    /**
     * Guards against cooldowns of servers that got the end of a long body shortly before the
     * client's deadline.
     */
    @Test
    void aTimeoutSoonAfterTheEndOfABodySaysNothingOfTheServer() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 30; i++) {
            proxy.serve();
        }
        for (int i = 0; i < 4; i++) {
            String request = proxy.request(Proxy.UNSAFE);
            proxy.balancer.bodySpent(proxy.nowUs, request);
            proxy.advance(900);
            proxy.balancer.bodyWritten(proxy.nowUs, request, 0);
            proxy.advance(USUAL_LATENCY_MS / 10);
            proxy.endAttempt(request, Outcome.TIMEOUT);
            assertEquals(0, proxy.balancer.hostsDown(proxy.nowUs));
        }
    }

    /** The time that a client takes to read a response does not depend on the server. */
    @Test
    void aServerWhoseResponseHasBegunCountsAsIdle() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 30; i++) {
            proxy.serve();
        }
        String request = proxy.request(Proxy.SAFE);
        String first = proxy.lastServerOf(request);
        proxy.advance(20);
        proxy.balancer.streamStarted(proxy.nowUs, request, 0, first, 20 * MS);
        assertEquals(
                List.of(),
                proxy.actions.stream().filter(line -> line.startsWith("cancel")).toList());
        proxy.advance(5_000);
        assertEquals(0, proxy.balancer.hostsDown(proxy.nowUs), "a long response is not overdue");
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            used.add(proxy.serve());
        }
        assertEquals(Set.of("a", "b"), used, "a server with a begun response counts as idle");
        proxy.endAttempt(request, 0, Outcome.RESET);
        assertEquals(
                1,
                proxy.balancer.hostsDown(proxy.nowUs),
                "a response that breaks off is a failure");
        assertEquals(1, proxy.attempts.get(request));
    }
}
