package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DutyHolderLogTest {

    @Test
    void observationsOfTwoHoldersAreReported() {
        DutyHolderLog log = new DutyHolderLog();
        for (int i = 0; i < 10; i++) {
            log.add(
                    new DutyHolderLog.Observation(
                            i < 5 ? 0 : 1, i < 5 ? 1 : 2, 100 * i, 100 * i + 90));
        }
        // The observation overlaps the one before, so it may have come first.
        log.add(new DutyHolderLog.Observation(0, 1, 480, 600));
        assertEquals(0, log.violations().size());
        log.add(new DutyHolderLog.Observation(0, 1, 700, 720));
        log.add(new DutyHolderLog.Observation(2, 2, 950, 960));
        assertEquals(2, log.violations().size());
    }
}
