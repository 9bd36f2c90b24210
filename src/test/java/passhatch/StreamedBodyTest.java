package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static passhatch.Proxy.MS;
import static passhatch.Proxy.setup;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;

/** Requests and answers whose bodies go on as they come. */
final class StreamedBodyTest {

    @Test
    void aRequestWithoutItsBodyIsNotRetriedThoughItsClassIsSafe() {
        Proxy p = new Proxy(setup()).startWith("a", "b", "c");
        String r = p.request(Proxy.SAFE);
        p.balancer.bodySpent(p.nowUs, r);
        p.endAttempt(r, Outcome.CONNECT_FAILED);
        assertEquals(1, p.attempts.get(r));
        assertEquals(
                1, p.countActions("refuse " + r), "it did not run, so its client may come again");
    }

    @Test
    void noResponseIsDueWhileTheBodyIsBeingSent() {
        Proxy p = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 30; i++) {
            p.serve();
        }
        String r = p.request(Proxy.SAFE);
        p.balancer.bodySpent(p.nowUs, r);
        p.advance(900);
        assertEquals(0, p.balancer.hostsDown(p.nowUs));
        p.balancer.bodyWritten(p.nowUs, r, 0);
        p.advance(900);
        assertEquals(1, p.balancer.hostsDown(p.nowUs), "now it is silent");
    }

    /** How long a client takes to read an answer says nothing of the server. */
    @Test
    void aServerWhoseResponseHasBegunCountsAsIdle() {
        Proxy p = new Proxy(setup()).startWith("a", "b");
        for (int i = 0; i < 30; i++) {
            p.serve();
        }
        String r = p.request(Proxy.SAFE);
        String first = p.lastServerOf(r);
        p.advance(20);
        p.balancer.streamStarted(p.nowUs, r, 0, first, 20 * MS);
        assertEquals(
                List.of(), p.actions.stream().filter(line -> line.startsWith("cancel")).toList());
        p.advance(5_000);
        assertEquals(0, p.balancer.hostsDown(p.nowUs), "a long answer is no silence");
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            used.add(p.serve());
        }
        assertEquals(Set.of("a", "b"), used, "it counts as idle");
        p.endAttempt(r, 0, Outcome.RESET);
        assertEquals(1, p.balancer.hostsDown(p.nowUs), "an answer that breaks is a failure");
        assertEquals(1, p.attempts.get(r));
    }
}
