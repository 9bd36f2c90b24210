package passhatch.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The delays add up to less than the bounds that operators specify. */
final class WatchBudgetTest {

    private static final long NOTIFY_TIMEOUT_MS = 6_000;
    private static final long MAX_STALL_MS = 150;

    /** The decision module's maximum first retry delay. */
    private static final long MAX_FIRST_RETRY_DELAY_MS = 375;

    private static final long[] GRACES_MS = {300, 500, 750, 2_000};

    @Test
    void aSilentWatchLeavesTimeForAQueuedResponse() {
        for (long graceMs : GRACES_MS) {
            WatchBudget budget = WatchBudget.of(true, graceMs * 1_000);
            long spentMs =
                    budget.silenceTimeoutMs()
                            + MAX_FIRST_RETRY_DELAY_MS
                            + budget.connectTimeoutMs();
            assertTrue(
                    spentMs + 2_000 <= NOTIFY_TIMEOUT_MS + graceMs - 2 * MAX_STALL_MS,
                    "" + spentMs);
        }
    }

    @Test
    void aLostCallLeavesTimeForAnotherResponse() {
        for (long graceMs : GRACES_MS) {
            WatchBudget budget = WatchBudget.of(true, graceMs * 1_000);
            long spentMs =
                    budget.initialMessageTimeoutMs()
                            + MAX_FIRST_RETRY_DELAY_MS
                            + budget.connectTimeoutMs();
            assertTrue(
                    spentMs + 1_000 <= NOTIFY_TIMEOUT_MS + graceMs - 2 * MAX_STALL_MS,
                    "" + spentMs);
        }
    }

    @Test
    void withPushedChangesTheRecoveryFromAnOutageFitsIntoTheGrace() {
        for (long graceMs : GRACES_MS) {
            WatchBudget budget = WatchBudget.of(false, graceMs * 1_000);
            long spentMs = 2 * budget.maxBackoffMs() + budget.connectTimeoutMs();
            assertTrue(spentMs + MAX_STALL_MS <= graceMs, graceMs + ": " + spentMs);
        }
    }

    @Test
    void aLateEmptyLineKeepsAWatchAlive() {
        WatchBudget budget = WatchBudget.of(true, 750_000);
        assertTrue(
                budget.silenceTimeoutMs() >= WatchBudget.EMPTY_LINE_INTERVAL_MS + 2 * MAX_STALL_MS);
    }

    /** A call made during an outage may never get a response. */
    @Test
    void withPushedChangesALostCallIsReplacedWithinTheNotifyTimeout() {
        for (long graceMs : GRACES_MS) {
            WatchBudget budget = WatchBudget.of(false, graceMs * 1_000);
            long spentMs =
                    budget.maxMessageTimeoutMs()
                            + budget.maxBackoffMs()
                            + budget.connectTimeoutMs();
            assertTrue(spentMs <= NOTIFY_TIMEOUT_MS, graceMs + ": " + spentMs);
        }
    }
}
