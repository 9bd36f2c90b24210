package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static passhatch.Proxy.setup;

import java.util.List;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;

/** Log lines for the operator. */
final class OperatorLogTest {

    private List<String> logLines(Proxy proxy) {
        return proxy.actions.stream()
                .filter(action -> action.startsWith("log "))
                .map(action -> action.substring(4))
                .toList();
    }

    @Test
    void logsCooldownsAndWaitingRequestsAtALimitedRate() {
        Proxy.Setup setup = setup();
        setup.maxAttempts = 1;
        Proxy proxy = new Proxy(setup).startWith("a");
        for (int i = 0; i < 2; i++) {
            proxy.endAttempt(proxy.request(Proxy.SAFE), Outcome.CONNECT_FAILED);
        }
        assertEquals(List.of("a rests: connections to it fail or break"), logLines(proxy));
        proxy.request(Proxy.UNSAFE);
        assertEquals(1, logLines(proxy).size(), "at most one line in ten seconds");
        proxy.advance(10_000);
        proxy.balancer.serversChanged(proxy.nowUs, ListKind.WHOLE, List.of());
        proxy.request(Proxy.UNSAFE);
        proxy.request(Proxy.UNSAFE);
        assertEquals(
                List.of(
                        "UNSAFE-ALL waits: every server it may use is too crowded, rests or is"
                                + " cold"),
                logLines(proxy).subList(1, logLines(proxy).size()));
    }
}
