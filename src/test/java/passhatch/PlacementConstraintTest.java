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

/** A request class bound to zones or machine types goes nowhere else. */
final class PlacementConstraintTest {

    private static final int RESTRICTED = 4;

    private Proxy proxyWithRestrictedClass(Set<Integer> zones, Set<Integer> models) {
        Proxy.Setup setup = setup();
        setup.extraClasses =
                List.of(
                        new RequestClass(
                                "bound",
                                400 * MS,
                                1_000 * MS,
                                1,
                                0,
                                Effect.SAFE,
                                DedupGroup.ALL,
                                0,
                                zones,
                                models));
        Proxy p = new Proxy(setup);
        p.startWith(
                List.of(
                        new Server("a", 0, 0, 0, ServerStatus.UP, 0),
                                new Server("b", 0, 0, 0, ServerStatus.UP, 1),
                        new Server("c", 0, 1, 0, ServerStatus.UP, 0),
                                new Server("d", 0, 1, 0, ServerStatus.UP, 1)));
        return p;
    }

    @Test
    void aRestrictedClassKeepsToItsServersAtEveryAttempt() {
        Proxy p = proxyWithRestrictedClass(null, Set.of(1));
        for (int i = 0; i < 30; i++) {
            String r = p.request(RESTRICTED);
            if (p.lastServerOf(r) != null) {
                p.endAttempt(r, i % 2 == 0 ? Outcome.CONNECT_FAILED : Outcome.FULL);
            }
            p.advance(70);
        }
        Set<String> used = new HashSet<>();
        p.sentTo.values().forEach(used::addAll);
        assertEquals(Set.of("b", "d"), used);
    }

    @Test
    void zonesAndMachineTypesBothRestrict() {
        Proxy p = proxyWithRestrictedClass(Set.of(1), Set.of(1));
        for (int i = 0; i < 5; i++) {
            assertEquals("d", p.lastServerOf(p.request(RESTRICTED)));
        }
    }

    @Test
    void waitsWhileNoServerIsAllowedAndEndsInTime() {
        for (Set<Integer> models : List.of(Set.<Integer>of(), Set.of(7))) {
            Proxy p = proxyWithRestrictedClass(null, models);
            String r = p.request(RESTRICTED);
            p.advance(1_000);
            assertNull(p.lastServerOf(r));
            assertEquals(1, p.countActions("refuse " + r) + p.countActions("fail " + r));
        }
    }

    @Test
    void aWaitingRequestUsesTheFirstAllowedServer() {
        Proxy p = proxyWithRestrictedClass(Set.of(3), null);
        String r = p.request(RESTRICTED);
        p.balancer.serversChanged(
                p.nowUs, ListKind.CHANGES, List.of(new Server("e", 0, 3, 0, ServerStatus.UP, 0)));
        p.advance(300);
        assertEquals("e", p.lastServerOf(r));
    }
}
