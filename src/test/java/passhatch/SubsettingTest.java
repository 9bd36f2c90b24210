package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.names;
import static passhatch.Proxy.setup;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/** Many copies that cannot see each other's calls keep to a subset of the servers each. */
final class SubsettingTest {

    private static final int SERVER_COUNT = 60;

    private Set<String> serversUsed(int copy, int callsPerConnection, boolean probes) {
        Proxy.Setup setup = setup();
        setup.probes = probes;
        setup.copies = SERVER_COUNT;
        setup.copy = copy;
        setup.callsPerConnection = callsPerConnection;
        Proxy p = new Proxy(setup, copy).startWith(names(SERVER_COUNT));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 2 * SERVER_COUNT; i++) {
            used.add(p.serve());
        }
        return used;
    }

    @Test
    void aCopyUsesFewServersWhereItKnowsOnlyItsOwnRequests() {
        assertTrue(
                serversUsed(5, 1, false).size() < SERVER_COUNT / 4,
                "servers used: " + serversUsed(5, 1, false));
        assertTrue(
                serversUsed(5, 100, false).size() < SERVER_COUNT / 4,
                "other copies' calls are not seen");
        int told = serversUsed(5, 100, true).size();
        assertTrue(
                told > SERVER_COUNT / 3 && told < SERVER_COUNT / 2,
                "where probes tell more are used: " + told);
    }

    @Test
    void prefersServersOfItsZoneWhereCrossingZonesHasAPrice() {
        for (int copy = 0; copy < SERVER_COUNT; copy += 7) {
            Proxy.Setup setup = setup();
            setup.probes = true;
            setup.crossZonePrice = 0.005;
            setup.copies = SERVER_COUNT;
            setup.copy = copy;
            Proxy p = new Proxy(setup, copy).startWith(names(SERVER_COUNT));
            Set<String> first = Set.of(p.serve(), p.serve());
            assertEquals(
                    Set.of(names(SERVER_COUNT)[0], names(SERVER_COUNT)[1]),
                    first,
                    "not the two of its own zone");
        }
    }

    @Test
    void usesOtherZonesWhenAllServersOfItsZoneAreCongested() {
        Proxy.Setup setup = setup();
        setup.crossZonePrice = 0.01;
        setup.copies = 100;
        Proxy p = new Proxy(setup);
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            list.add(new Server("s" + i, 0, i < 6 ? 0 : 1, 0, ServerStatus.UP));
        }
        p.startWith(list);
        for (int i = 0; i < 30; i++) {
            assertTrue(Integer.parseInt(p.serve().substring(1)) < 6, "left its zone without need");
        }
        Set<String> far = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            String at = p.lastServerOf(p.request(Proxy.SAFE));
            if (at != null && Integer.parseInt(at.substring(1)) >= 6) {
                far.add(at);
            }
        }
        assertEquals(4, far.size(), "far servers used: " + far);
    }

    @Test
    void theSubsetsCoverAllServersEvenly() {
        Map<String, Integer> copies = new HashMap<>();
        for (int copy = 0; copy < SERVER_COUNT; copy++) {
            serversUsed(copy, 1, false).forEach(server -> copies.merge(server, 1, Integer::sum));
        }
        assertEquals(SERVER_COUNT, copies.size());
        assertEquals(1, new HashSet<>(copies.values()).size(), "copies by server: " + copies);
    }

    @Test
    void aServerInCooldownIsReplacedInTheSubset() {
        Proxy.Setup setup = setup();
        setup.copies = SERVER_COUNT;
        setup.callsPerConnection = 1;
        Proxy p = new Proxy(setup).startWith(names(SERVER_COUNT));
        Set<String> before = new HashSet<>();
        Set<String> after = new HashSet<>();
        for (int i = 0; i < SERVER_COUNT; i++) {
            before.add(p.serve());
        }
        for (int i = 0; i < 2 * before.size(); i++) {
            p.endAttempt(p.request(Proxy.UNSAFE), Outcome.CONNECT_FAILED);
        }
        for (int i = 0; i < before.size(); i++) {
            String r = p.request(Proxy.SAFE);
            after.add(p.lastServerOf(r));
            p.endAttempt(r, Outcome.OK);
        }
        after.removeAll(before);
        assertFalse(after.isEmpty(), "all of the circle failed, and no server beyond it was taken");
    }
}
