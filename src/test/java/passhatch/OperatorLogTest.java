package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static passhatch.Proxy.setup;

import java.util.List;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;

/** Log lines for the operator. */
final class OperatorLogTest {

    private List<String> logLines(Proxy p) {
        return p.actions.stream()
                .filter(d -> d.startsWith("log "))
                .map(d -> d.substring(4))
                .toList();
    }

    @Test
    void logsCooldownsAndWaitingRequestsAtALimitedRate() {
        Proxy.Setup setup = setup();
        setup.maxAttempts = 1;
        Proxy p = new Proxy(setup).startWith("a");
        for (int i = 0; i < 2; i++) {
            p.endAttempt(p.request(Proxy.SAFE), Outcome.CONNECT_FAILED);
        }
        assertEquals(List.of("a rests: connections to it fail or break"), logLines(p));
        p.request(Proxy.UNSAFE);
        assertEquals(1, logLines(p).size(), "one line in ten seconds");
        p.advance(10_000);
        p.balancer.serversChanged(p.nowUs, ListKind.WHOLE, List.of());
        p.request(Proxy.UNSAFE);
        p.request(Proxy.UNSAFE);
        assertEquals(
                List.of(
                        "UNSAFE-ALL waits: every server it may use is too crowded, rests or is"
                                + " cold"),
                logLines(p).subList(1, logLines(p).size()));
    }
}
