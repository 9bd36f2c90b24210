package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static passhatch.Proxy.MS;
import static passhatch.Proxy.setup;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.DedupGroup;
import passhatch.Balancer.Effect;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/** A request class restricted to zones or machine types uses no other servers. */
final class PlacementConstraintTest {

    private static final int RESTRICTED = 4;

    private Proxy proxyWithRestrictedClass(Set<Integer> zones, Set<Integer> models) {
        Proxy.Setup setup = setup();
        setup.extraClasses =
                List.of(
                        new RequestClass(
                                "restricted",
                                400 * MS,
                                1_000 * MS,
                                1,
                                0,
                                Effect.SAFE,
                                DedupGroup.ALL,
                                0,
                                zones,
                                models));
        Proxy proxy = new Proxy(setup);
        proxy.startWith(
                List.of(
                        new Server("a", 0, 0, 0, ServerStatus.UP, 0),
                                new Server("b", 0, 0, 0, ServerStatus.UP, 1),
                        new Server("c", 0, 1, 0, ServerStatus.UP, 0),
                                new Server("d", 0, 1, 0, ServerStatus.UP, 1)));
        return proxy;
    }

    @Test
    void aRestrictedClassKeepsToItsServersAtEveryAttempt() {
        Proxy proxy = proxyWithRestrictedClass(null, Set.of(1));
        for (int i = 0; i < 30; i++) {
            String request = proxy.request(RESTRICTED);
            if (proxy.lastServerOf(request) != null) {
                proxy.endAttempt(request, i % 2 == 0 ? Outcome.CONNECT_FAILED : Outcome.FULL);
            }
            proxy.advance(70);
        }
        Set<String> used = new HashSet<>();
        proxy.sentTo.values().forEach(used::addAll);
        assertEquals(Set.of("b", "d"), used);
    }

    @Test
    void zonesAndMachineTypesBothRestrict() {
        Proxy proxy = proxyWithRestrictedClass(Set.of(1), Set.of(1));
        for (int i = 0; i < 5; i++) {
            assertEquals("d", proxy.lastServerOf(proxy.request(RESTRICTED)));
        }
    }

    @Test
    void waitsWhileNoServerIsAllowedAndEndsInTime() {
        for (Set<Integer> models : List.of(Set.<Integer>of(), Set.of(7))) {
            Proxy proxy = proxyWithRestrictedClass(null, models);
            String request = proxy.request(RESTRICTED);
            proxy.advance(1_000);
            assertNull(proxy.lastServerOf(request));
            assertEquals(
                    1,
                    proxy.countActions("refuse " + request)
                            + proxy.countActions("fail " + request));
        }
    }

    @Test
    void aWaitingRequestUsesTheFirstAllowedServer() {
        Proxy proxy = proxyWithRestrictedClass(Set.of(3), null);
        String request = proxy.request(RESTRICTED);
        proxy.balancer.serversChanged(
                proxy.nowUs,
                ListKind.CHANGES,
                List.of(new Server("e", 0, 3, 0, ServerStatus.UP, 0)));
        proxy.advance(300);
        assertEquals("e", proxy.lastServerOf(request));
    }
}
