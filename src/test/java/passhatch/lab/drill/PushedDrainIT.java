package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Where lists are pushed, no request reaches a draining server after the drain grace, whatever
 * discovery does: a process is deemed notified of each change at once, whether a watch is open or
 * not.
 */
class PushedDrainIT extends OneProxyDrill {

    /** Long enough for a process to be ready without discovery. */
    private static final long UNCONFIRMED_START_MS = 8_000;

    PushedDrainIT() {
        super("asks = false", 2);
    }

    /** Guards against review/9: the list was used for 6 s after the end of its watch. */
    @Test
    void aDrainAfterTheResetOfTheWatchIsDeemedNotifiedAtOnceThoughNoCallIsAnswered()
            throws Exception {
        assertEquals(200, requestStatus());
        injectFault("do = 'overload'");
        injectFault("do = 'break'");
        drainFirstBackendAccepting(0);
        serveFor(BEYOND_GRACE_MS);
        assertEquals(0, testbed.ledger.attemptsAfterDrain());
        injectFault("do = 'relieve'");
        await("service by the list of discovery", () -> requestStatus() == 200);
        assertTrue(serveFor(BEYOND_GRACE_MS) > 0);
        assertEquals(0, testbed.ledger.attemptsAfterDrain());
    }

    /** Guards against an address change that keeps a list in use for 4 s. */
    @Test
    void aDrainAfterAnAddressChangeIsDeemedNotifiedAtOnceThoughNoCallIsAnswered() throws Exception {
        assertEquals(200, requestStatus());
        injectFault("do = 'overload'");
        changeDiscoveryAddress();
        await("the use of the new address", () -> requestStatus() != 200);
        drainFirstBackendAccepting(0);
        serveFor(BEYOND_GRACE_MS);
        assertEquals(0, testbed.ledger.attemptsAfterDrain());
    }

    @Test
    void aDrainBeforeTheStartOfAProcessIsDeemedNotifiedFromItsFirstMoment() throws Exception {
        assertEquals(200, requestStatus());
        injectFault("do = 'overload'");
        injectFault("do = 'kill', target = 'proxy-1'");
        await("the end of the process", () -> !proxy.process().isAlive());
        drainFirstBackendAccepting(0);
        injectFault("do = 'start', target = 'proxy-1'");
        await("an answer", () -> requestStatus() != 0);
        serveFor(UNCONFIRMED_START_MS);
        assertEquals(0, testbed.ledger.attemptsAfterDrain());
        injectFault("do = 'relieve'");
        await("service by the list of discovery", () -> requestStatus() == 200);
        assertEquals(0, testbed.ledger.attemptsAfterDrain());
    }
}
