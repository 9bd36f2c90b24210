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

/** Connections that cannot be established although the servers are alive. */
final class ConnectionFailureTest {

    private Set<String> unconnectedServersUsedAfterAFailure(long keepaliveUs) {
        Proxy.Setup setup = setup();
        setup.keepaliveUs = keepaliveUs;
        Proxy proxy = new Proxy(setup).startWith("a", "b", "c", "d", "e", "f");
        Set<String> reached = new HashSet<>(List.of(proxy.serve(), proxy.serve()));
        String request = proxy.request(Proxy.SAFE);
        proxy.endAttempt(request, Outcome.CONNECT_FAILED);
        reached.add(proxy.lastServerOf(request));
        proxy.endAttempt(request, Outcome.OK);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            proxy.advance(100);
            used.add(proxy.serve());
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
        Proxy proxy = new Proxy(setup).startWith("a", "b", "c", "d");
        String request = proxy.request(Proxy.SAFE);
        proxy.endAttempt(request, Outcome.CONNECT_FAILED);
        proxy.endAttempt(request, Outcome.OK);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            used.add(proxy.serve());
        }
        assertEquals(Set.of("a", "b", "c", "d"), used);
    }
}
