package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the effect of each fault on a real process of the packaged program. */
class FaultsIT extends OneProxyDrill {

    FaultsIT() {
        super("retries = false", 1);
    }

    private void addToList(String name) {
        publishStatus(name, "SERVING");
    }

    @Test
    void aKilledProcessEndsAndServesAgainAfterARestart() throws Exception {
        long pid = proxy.process().pid();
        injectFault("do = 'kill', target = 'proxy-1'");
        await("the end of the process", () -> !proxy.process().isAlive());
        assertEquals(0, requestStatus());
        injectFault("do = 'start', target = 'proxy-1'");
        await("an answer", () -> requestStatus() == 200);
        assertNotEquals(pid, proxy.process().pid());
    }

    @Test
    void aTerminatedProcessShutsDownInOrder() throws Exception {
        injectFault("do = 'term', target = 'proxy-1'");
        await("the end of the process", () -> !proxy.process().isAlive());
        assertTrue(
                proxy.process().logTail().contains("ending with 0 requests unanswered"),
                proxy.process().logTail());
    }

    @Test
    void aStoppedProcessDoesNotRespondUntilItIsContinued() throws Exception {
        injectFault("do = 'stop', target = 'proxy-1'");
        assertEquals(0, requestStatus());
        assertTrue(proxy.process().isAlive());
        injectFault("do = 'cont', target = 'proxy-1'");
        await("an answer", () -> requestStatus() == 200);
    }

    @Test
    void backendFaultsTakeEffectAndAreUndone() throws Exception {
        assertEquals(200, requestStatus());
        injectFault("do = 'slow', target = 'backend-1', factor = 100.0");
        long sentNs = System.nanoTime();
        assertEquals(200, requestStatus());
        assertTrue(System.nanoTime() - sentNs >= 400_000_000, "it was not slow");
        for (String bad : List.of("fail", "reset", "hang")) {
            injectFault("do = '" + bad + "', target = 'backend-1'");
            assertNotEquals(200, requestStatus(), bad);
            injectFault("do = 'well', target = 'backend-1'");
            await("an answer after " + bad, () -> requestStatus() == 200);
        }
    }

    @Test
    void crashedBackendsReturnAndDrainingOnesGetNoRequests() throws Exception {
        injectFault("do = 'crash', target = 'backend-1'");
        await("the list without it", () -> listedHosts() == 0);
        assertNotEquals(200, requestStatus());
        injectFault("do = 'return', target = 'backend-1'");
        await("an answer", () -> requestStatus() == 200);
        injectFault("do = 'drain', target = 'backend-1'");
        await("the end of requests to it", () -> requestStatus() != 200);
        assertEquals(0, testbed.ledger.attemptsAfterDrain());
    }

    @Test
    void changesArriveAgainAfterEachDiscoveryFault() throws Exception {
        injectFault("do = 'break'");
        await(
                "the end of the watch",
                () -> proxy.process().logTail().contains("the watch from index 1 ended"));
        addToList("b");
        await("the change after it", () -> listedHosts() == 2);
        injectFault("do = 'down'");
        addToList("c");
        await(
                "a refused connection",
                () -> proxy.process().logTail().contains("Connection refused"));
        assertEquals(2, listedHosts());
        injectFault("do = 'up'");
        await("the change made during the outage", () -> listedHosts() == 3);
        injectFault("do = 'stall'");
        addToList("d");
        await(
                "the timeout of the silent watch",
                () -> proxy.process().logTail().contains("index 3 ended"));
        assertEquals(3, listedHosts());
        injectFault("do = 'resume'");
        await("the change after the stall", () -> listedHosts() == 4);
        injectFault("do = 'overload'");
        injectFault("do = 'break'");
        await("a rejected call", () -> proxy.process().logTail().contains("answered 503"));
        injectFault("do = 'relieve'");
        addToList("g");
        await("the change after the overload", () -> listedHosts() == 5);
        injectFault("do = 'tell_late', by = '700ms'");
        long changedNs = System.nanoTime();
        addToList("e");
        await("the late change", () -> listedHosts() == 6);
        assertTrue(System.nanoTime() - changedNs >= 700_000_000L, "it came early");
        injectFault("do = 'tell_at_once'");
        addToList("f");
        await("a change at once", () -> listedHosts() == 7);
    }
}
