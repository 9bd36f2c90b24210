package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Each fault by its effect on a real process of the packaged program. */
class FaultsIT extends OneProxyDrill {

    FaultsIT() {
        super("retries = false", 1);
    }

    private void listOneMore(String name) {
        list(name, "SERVING");
    }

    @Test
    void aKilledProcessIsGoneAndOneStartedAgainServes() throws Exception {
        long pid = proxy.child().pid();
        fault("do = 'kill', target = 'proxy-1'");
        await("its end", () -> !proxy.child().alive());
        assertEquals(0, ask());
        fault("do = 'start', target = 'proxy-1'");
        await("an answer", () -> ask() == 200);
        assertNotEquals(pid, proxy.child().pid());
    }

    @Test
    void aTerminatedProcessEndsByItself() throws Exception {
        fault("do = 'term', target = 'proxy-1'");
        await("its end", () -> !proxy.child().alive());
        assertTrue(
                proxy.child().logEnd().contains("ending with 0 requests unanswered"),
                proxy.child().logEnd());
    }

    @Test
    void aStoppedProcessIsSilentUntilItGoesOn() throws Exception {
        fault("do = 'stop', target = 'proxy-1'");
        assertEquals(0, ask());
        assertTrue(proxy.child().alive());
        fault("do = 'cont', target = 'proxy-1'");
        await("an answer", () -> ask() == 200);
    }

    @Test
    void backendsDoBadlyAndWellAgain() throws Exception {
        assertEquals(200, ask());
        fault("do = 'slow', target = 'backend-1', factor = 100.0");
        long sentNs = System.nanoTime();
        assertEquals(200, ask());
        assertTrue(System.nanoTime() - sentNs >= 400_000_000, "it was not slow");
        for (String bad : List.of("fail", "reset", "hang")) {
            fault("do = '" + bad + "', target = 'backend-1'");
            assertNotEquals(200, ask(), bad);
            fault("do = 'well', target = 'backend-1'");
            await("an answer after " + bad, () -> ask() == 200);
        }
    }

    @Test
    void backendsLeaveAndReturn() throws Exception {
        fault("do = 'crash', target = 'backend-1'");
        await("the news of its end", () -> listed() == 0);
        assertNotEquals(200, ask());
        fault("do = 'return', target = 'backend-1'");
        await("an answer", () -> ask() == 200);
        fault("do = 'drain', target = 'backend-1'");
        await("that it is sent nothing more", () -> ask() != 200);
        assertEquals(0, field.ledger.attemptsAfterDrain());
    }

    @Test
    void discoveryFailsInEachWayAndIsHeardAgain() throws Exception {
        fault("do = 'break'");
        await(
                "the news of the break",
                () -> proxy.child().logEnd().contains("the watch from index 1 ended"));
        listOneMore("b");
        await("the change after it", () -> listed() == 2);
        fault("do = 'down'");
        listOneMore("c");
        await("a refused call", () -> proxy.child().logEnd().contains("Connection refused"));
        assertEquals(2, listed());
        fault("do = 'up'");
        await("the change told late", () -> listed() == 3);
        fault("do = 'stall'");
        listOneMore("d");
        await("the end of its patience", () -> proxy.child().logEnd().contains("index 3 ended"));
        assertEquals(3, listed());
        fault("do = 'resume'");
        await("the change after the stall", () -> listed() == 4);
        fault("do = 'overload'");
        fault("do = 'break'");
        await("a call turned away", () -> proxy.child().logEnd().contains("answered 503"));
        fault("do = 'relieve'");
        listOneMore("g");
        await("the change after the overload", () -> listed() == 5);
        fault("do = 'tell_late', by = '700ms'");
        long toldNs = System.nanoTime();
        listOneMore("e");
        await("the late change", () -> listed() == 6);
        assertTrue(System.nanoTime() - toldNs >= 700_000_000L, "it came early");
        fault("do = 'tell_at_once'");
        listOneMore("f");
        await("a change at once", () -> listed() == 7);
    }
}
