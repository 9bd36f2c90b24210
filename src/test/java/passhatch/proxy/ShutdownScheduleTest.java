package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The order's steps fit whatever the longest deadline is. */
final class ShutdownScheduleTest {

    @Test
    void leavesTimeForEveryResponseBeforeTheKill() {
        for (long deadlineMs = 1; deadlineMs <= 20_000; deadlineMs++) {
            ShutdownSchedule schedule = ShutdownSchedule.of(deadlineMs);
            assertEquals(Math.min(deadlineMs, 3_000) + 700, schedule.killMs());
            assertTrue(schedule.stopListeningMs() > 400, "connections still come: " + schedule);
            assertTrue(
                    schedule.closeClientsMs() >= schedule.stopListeningMs(),
                    "the last to come are not served: " + schedule);
            assertTrue(
                    schedule.respondByMs() - schedule.closeClientsMs() >= Math.min(deadlineMs, 100),
                    "the last request taken has no time: " + deadlineMs + " ms, " + schedule);
            assertTrue(
                    schedule.respondByMs() <= schedule.killMs() - 200,
                    "an answer may come too late: " + schedule);
        }
    }
}
