package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The steps of a shutdown are consistent for every longest deadline. */
final class ShutdownScheduleTest {

    @Test
    void leavesTimeForEveryResponseBeforeTheKill() {
        for (long deadlineMs = 1; deadlineMs <= 20_000; deadlineMs++) {
            ShutdownSchedule schedule = ShutdownSchedule.of(deadlineMs);
            assertEquals(Math.min(deadlineMs, 3_000) + 700, schedule.killMs());
            assertTrue(
                    schedule.stopListeningMs() > 400,
                    "new connections may still arrive: " + schedule);
            assertTrue(
                    schedule.closeClientsMs() >= schedule.stopListeningMs(),
                    "the last connections are not served: " + schedule);
            assertTrue(
                    schedule.respondByMs() - schedule.closeClientsMs() >= Math.min(deadlineMs, 100),
                    "the last accepted request has too little time: "
                            + deadlineMs
                            + " ms, "
                            + schedule);
            assertTrue(
                    schedule.respondByMs() <= schedule.killMs() - 200,
                    "a response may be too late: " + schedule);
        }
    }
}
