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

/** Many copies that do not know each other's requests use a subset of the servers each. */
final class SubsettingTest {

    private static final int SERVER_COUNT = 60;

    private Set<String> serversUsed(int copy, int callsPerConnection, boolean probes) {
        Proxy.Setup setup = setup();
        setup.probes = probes;
        setup.copies = SERVER_COUNT;
        setup.copy = copy;
        setup.callsPerConnection = callsPerConnection;
        Proxy proxy = new Proxy(setup, copy).startWith(names(SERVER_COUNT));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 2 * SERVER_COUNT; i++) {
            used.add(proxy.serve());
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
                "other copies' requests are not known");
        int probed = serversUsed(5, 100, true).size();
        assertTrue(
                probed > SERVER_COUNT / 3 && probed < SERVER_COUNT / 2,
                "servers used with probes: " + probed);
    }

    @Test
    void prefersServersOfItsZoneWhereCrossingZonesHasAPrice() {
        for (int copy = 0; copy < SERVER_COUNT; copy += 7) {
            Proxy.Setup setup = setup();
            setup.probes = true;
            setup.crossZonePrice = 0.005;
            setup.copies = SERVER_COUNT;
            setup.copy = copy;
            Proxy proxy = new Proxy(setup, copy).startWith(names(SERVER_COUNT));
            Set<String> first = Set.of(proxy.serve(), proxy.serve());
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
        Proxy proxy = new Proxy(setup);
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            list.add(new Server("s" + i, 0, i < 6 ? 0 : 1, 0, ServerStatus.UP));
        }
        proxy.startWith(list);
        for (int i = 0; i < 30; i++) {
            assertTrue(
                    Integer.parseInt(proxy.serve().substring(1)) < 6, "left its zone without need");
        }
        Set<String> otherZone = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            String at = proxy.lastServerOf(proxy.request(Proxy.SAFE));
            if (at != null && Integer.parseInt(at.substring(1)) >= 6) {
                otherZone.add(at);
            }
        }
        assertEquals(4, otherZone.size(), "servers of the other zone used: " + otherZone);
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
        Proxy proxy = new Proxy(setup).startWith(names(SERVER_COUNT));
        Set<String> before = new HashSet<>();
        Set<String> after = new HashSet<>();
        for (int i = 0; i < SERVER_COUNT; i++) {
            before.add(proxy.serve());
        }
        for (int i = 0; i < 2 * before.size(); i++) {
            proxy.endAttempt(proxy.request(Proxy.UNSAFE), Outcome.CONNECT_FAILED);
        }
        for (int i = 0; i < before.size(); i++) {
            String request = proxy.request(Proxy.SAFE);
            after.add(proxy.lastServerOf(request));
            proxy.endAttempt(request, Outcome.OK);
        }
        after.removeAll(before);
        assertFalse(after.isEmpty(), "all of the subset failed, and no other server was used");
    }
}
