package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.MS;
import static passhatch.Proxy.setup;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;

/** Connections that cannot be made, though the servers live. */
final class ConnectionFailureTest {

    private Set<String> unconnectedServersUsedAfterAFailure(long keepaliveUs) {
        Proxy.Setup setup = setup();
        setup.keepaliveUs = keepaliveUs;
        Proxy p = new Proxy(setup).startWith("a", "b", "c", "d", "e", "f");
        Set<String> reached = new HashSet<>(List.of(p.serve(), p.serve()));
        String r = p.request(Proxy.SAFE);
        p.endAttempt(r, Outcome.CONNECT_FAILED);
        reached.add(p.lastServerOf(r));
        p.endAttempt(r, Outcome.OK);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            p.advance(100);
            used.add(p.serve());
        }
        used.removeAll(reached);
        return used;
    }

    @Test
    void whileConnectionsFailRequestsGoToConnectedServers() {
        assertEquals(Set.of(), unconnectedServersUsedAfterAFailure(10_000 * MS));
    }

    @Test
    void connectionsPastTheKeepaliveTimeDoNotCount() {
        assertTrue(unconnectedServersUsedAfterAFailure(20 * MS).size() > 1);
    }

    @Test
    void allServersAreUsedAgainAfterSomeSuccesses() {
        Proxy.Setup setup = setup();
        setup.keepaliveUs = 10_000 * MS;
        Proxy p = new Proxy(setup).startWith("a", "b", "c", "d");
        String r = p.request(Proxy.SAFE);
        p.endAttempt(r, Outcome.CONNECT_FAILED);
        p.endAttempt(r, Outcome.OK);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            used.add(p.serve());
        }
        assertEquals(Set.of("a", "b", "c", "d"), used);
    }
}
