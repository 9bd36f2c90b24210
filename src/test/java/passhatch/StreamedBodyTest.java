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
    void whatCannotBeSentAgainIsNotThoughItsClassMayRepeat() {
        Proxy p = new Proxy(setup()).with("a", "b", "c");
        String r = p.request(Proxy.SAFE);
        p.logic.bodySpent(p.now, r);
        p.end(r, Outcome.CONNECT_FAILED);
        assertEquals(1, p.attempts.get(r));
        assertEquals(1, p.count("refuse " + r), "it did not run, so its client may come again");
    }

    @Test
    void aServerOwesNoAnswerWhileTheBodyIsOnItsWay() {
        Proxy p = new Proxy(setup()).with("a", "b");
        for (int i = 0; i < 30; i++) {
            p.serve();
        }
        String r = p.request(Proxy.SAFE);
        p.logic.bodySpent(p.now, r);
        p.pass(900);
        assertEquals(0, p.logic.hostsDown(p.now));
        p.logic.bodyWritten(p.now, r, 0);
        p.pass(900);
        assertEquals(1, p.logic.hostsDown(p.now), "now it is silent");
    }

    /** How long a client takes to read an answer says nothing of the server. */
    @Test
    void aServerWhoseAnswerHasBegunHasDoneItsWork() {
        Proxy p = new Proxy(setup()).with("a", "b");
        for (int i = 0; i < 30; i++) {
            p.serve();
        }
        String r = p.request(Proxy.SAFE);
        String first = p.at(r);
        p.pass(20);
        p.logic.streamStarted(p.now, r, 0, first, 20 * MS);
        assertEquals(List.of(), p.done.stream().filter(line -> line.startsWith("cancel")).toList());
        p.pass(5_000);
        assertEquals(0, p.logic.hostsDown(p.now), "a long answer is no silence");
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            used.add(p.serve());
        }
        assertEquals(Set.of("a", "b"), used, "it counts as idle");
        p.end(r, 0, Outcome.RESET);
        assertEquals(1, p.logic.hostsDown(p.now), "an answer that breaks is a failure");
        assertEquals(1, p.attempts.get(r));
    }
}
