package passhatch.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The waits add up to less than the bounds that the operators state. */
final class WatchBudgetTest {

    private static final long TOLD_MS = 6_000;
    private static final long HOLD_UP_MS = 150;

    /** The module's first pause, at its longest. */
    private static final long FIRST_PAUSE_MS = 375;

    private static final long[] GRACES_MS = {300, 500, 750, 2_000};

    @Test
    void aWatchThatFallsSilentLeavesTimeForAnAnswerThatWaitsItsTurn() {
        for (long graceMs : GRACES_MS) {
            WatchBudget budget = WatchBudget.of(true, graceMs * 1_000);
            long spentMs = budget.silenceMs() + FIRST_PAUSE_MS + budget.connectMs();
            assertTrue(spentMs + 2_000 <= TOLD_MS + graceMs - 2 * HOLD_UP_MS, "" + spentMs);
        }
    }

    @Test
    void aCallThatIsLostLeavesTimeForAnotherAnswer() {
        for (long graceMs : GRACES_MS) {
            WatchBudget budget = WatchBudget.of(true, graceMs * 1_000);
            long spentMs = budget.firstAnswerMs() + FIRST_PAUSE_MS + budget.connectMs();
            assertTrue(spentMs + 1_000 <= TOLD_MS + graceMs - 2 * HOLD_UP_MS, "" + spentMs);
        }
    }

    @Test
    void whereChangesArePushedAReturnFromAnOutageFitsIntoTheGrace() {
        for (long graceMs : GRACES_MS) {
            WatchBudget budget = WatchBudget.of(false, graceMs * 1_000);
            long spentMs = 2 * budget.longestPauseMs() + budget.connectMs();
            assertTrue(spentMs + HOLD_UP_MS <= graceMs, graceMs + ": " + spentMs);
        }
    }

    @Test
    void anEmptyLineThatComesLateKeepsAWatchAlive() {
        WatchBudget budget = WatchBudget.of(true, 750_000);
        assertTrue(budget.silenceMs() >= WatchBudget.EMPTY_LINE_EVERY_MS + 2 * HOLD_UP_MS);
    }

    /** A call may have been made in an outage and never be answered. */
    @Test
    void whereChangesArePushedNoCallIsWaitedForLongerThanASilentWatchMay() {
        for (long graceMs : GRACES_MS) {
            WatchBudget budget = WatchBudget.of(false, graceMs * 1_000);
            long spentMs = budget.longestAnswerMs() + budget.longestPauseMs() + budget.connectMs();
            assertTrue(spentMs <= TOLD_MS, graceMs + ": " + spentMs);
        }
    }
}
