package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.MS;
import static passhatch.Proxy.setup;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;

/** Which server a request goes to while all are healthy. */
final class ServerSelectionTest {

    @Test
    void prefersIdleServersToBusyOnes() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c");
        Set<String> taken = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            taken.add(proxy.lastServerOf(proxy.request(Proxy.SAFE)));
        }
        assertEquals(Set.of("a", "b", "c"), taken);
    }

    @Test
    void usesTheServerWithTheFewestInFlightIfNoneIsIdle() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        String first = proxy.request(Proxy.SAFE);
        proxy.request(Proxy.SAFE);
        proxy.request(Proxy.SAFE);
        proxy.request(Proxy.SAFE);
        proxy.endAttempt(first, Outcome.OK);
        String freed = proxy.lastServerOf(first);
        assertEquals(freed, proxy.lastServerOf(proxy.request(Proxy.SAFE)));
    }

    @Test
    void usesTheLeastRecentlyAssignedIdleServer() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b", "c");
        String[] round = {proxy.serve(), proxy.serve(), proxy.serve()};
        for (String server : round) {
            assertEquals(server, proxy.serve());
        }
    }

    @Test
    void eachCopyUsesNewServersInItsOwnRandomOrder() {
        Set<List<String>> orders = new HashSet<>();
        for (int seed = 0; seed < 20; seed++) {
            Proxy proxy = new Proxy(setup(), seed).startWith("a", "b", "c");
            orders.add(List.of(proxy.serve(), proxy.serve(), proxy.serve()));
        }
        assertTrue(orders.size() > 2, "orders seen: " + orders);
    }

    @Test
    void givesASlowServerFewerTurns() {
        Proxy proxy = new Proxy(setup()).startWith("a", "b");
        Map<String, Integer> turns = new HashMap<>();
        for (int i = 0; i < 120; i++) {
            String request = proxy.request(Proxy.SAFE);
            String server = proxy.lastServerOf(request);
            turns.merge(server, 1, Integer::sum);
            proxy.advance(100);
            proxy.balancer.outcome(
                    proxy.nowUs,
                    request,
                    0,
                    server,
                    Outcome.OK,
                    server.equals("a") ? 100 * MS : 50 * MS,
                    true,
                    null);
        }
        assertTrue(turns.get("a") * 1.4 < turns.get("b"), "turns: " + turns);
    }

    @Test
    void anotherInstanceDoesNotAffectTheActions() {
        Proxy alone = new Proxy(setup(), 3).startWith("a", "b", "c");
        Proxy beside = new Proxy(setup(), 3).startWith("a", "b", "c");
        Proxy other = new Proxy(setup(), 4).startWith("a", "b", "c");
        for (int i = 0; i < 50; i++) {
            alone.serve();
            other.request(Proxy.UNSAFE);
            beside.serve();
        }
        assertEquals(alone.actions, beside.actions);
    }
}
