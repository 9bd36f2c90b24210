package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The order's steps fit whatever the longest deadline is. */
final class EndPlanTest {

    @Test
    void takesNothingThatItCannotAnswerBeforeTheKill() {
        for (long deadlineMs = 1; deadlineMs <= 20_000; deadlineMs++) {
            EndPlan plan = EndPlan.of(deadlineMs);
            assertEquals(Math.min(deadlineMs, 3_000) + 700, plan.killMs());
            assertTrue(plan.stopListeningMs() > 400, "connections still come: " + plan);
            assertTrue(
                    plan.leaveMs() >= plan.stopListeningMs(),
                    "the last to come are not served: " + plan);
            assertTrue(
                    plan.answerMs() - plan.leaveMs() >= Math.min(deadlineMs, 100),
                    "the last request taken has no time: " + deadlineMs + " ms, " + plan);
            assertTrue(
                    plan.answerMs() <= plan.killMs() - 200, "an answer may come too late: " + plan);
        }
    }
}
