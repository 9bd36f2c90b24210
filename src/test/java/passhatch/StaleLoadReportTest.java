package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.names;
import static passhatch.Proxy.setup;

import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;

/** Load reports that come seconds late send all copies to servers that were idle a while ago. */
final class StaleLoadReportTest {

    private Proxy proxyAfterOutcomes(Outcome outcome) {
        Proxy.Setup setup = setup();
        setup.probes = true;
        Proxy p = new Proxy(setup).startWith(names(12));
        for (int i = 0; i < 5; i++) {
            String r = p.request(Proxy.UNSAFE);
            p.reportAllIdle();
            p.endAttempt(r, outcome);
            p.reportAllIdle();
            p.advance(1);
        }
        return p;
    }

    @Test
    void stopsProbingForAWhileIfServersReportedIdleAreFull() {
        Proxy p = proxyAfterOutcomes(Outcome.FULL);
        int probes = p.countActions("probe");
        assertNotNull(p.lastServerOf(p.request(Proxy.SAFE)), "sent without asking");
        assertEquals(probes, p.countActions("probe"));
        p.advance(4_000);
        p.request(Proxy.SAFE);
        assertTrue(p.countActions("probe") > probes, "asks again after a while");
    }

    @Test
    void keepsProbingWhileReportsAreTrue() {
        Proxy p = proxyAfterOutcomes(Outcome.OK);
        int probes = p.countActions("probe");
        p.advance(50);
        p.request(Proxy.SAFE);
        assertTrue(p.countActions("probe") > probes);
    }
}
