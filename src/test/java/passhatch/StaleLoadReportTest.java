package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.Proxy.names;
import static passhatch.Proxy.setup;

import org.junit.jupiter.api.Test;
import passhatch.Balancer.Outcome;

/** Load reports seconds out of date would send all copies to servers that were idle a while ago. */
final class StaleLoadReportTest {

    private Proxy proxyAfterOutcomes(Outcome outcome) {
        Proxy.Setup setup = setup();
        setup.probes = true;
        Proxy proxy = new Proxy(setup).startWith(names(12));
        for (int i = 0; i < 5; i++) {
            String request = proxy.request(Proxy.UNSAFE);
            proxy.reportAllIdle();
            proxy.endAttempt(request, outcome);
            proxy.reportAllIdle();
            proxy.advance(1);
        }
        return proxy;
    }

    @Test
    void stopsProbingForAWhileIfServersReportedIdleAreFull() {
        Proxy proxy = proxyAfterOutcomes(Outcome.FULL);
        int probes = proxy.countActions("probe");
        assertNotNull(proxy.lastServerOf(proxy.request(Proxy.SAFE)), "waits for a probe");
        assertEquals(probes, proxy.countActions("probe"));
        proxy.advance(4_000);
        proxy.request(Proxy.SAFE);
        assertTrue(proxy.countActions("probe") > probes, "no probe after a while");
    }

    @Test
    void keepsProbingWhileReportsAreTrue() {
        Proxy proxy = proxyAfterOutcomes(Outcome.OK);
        int probes = proxy.countActions("probe");
        proxy.advance(50);
        proxy.request(Proxy.SAFE);
        assertTrue(proxy.countActions("probe") > probes);
    }
}
