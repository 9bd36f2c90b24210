package passhatch.lab.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Tests safety and convergence with random faults; the lab command {@code distribution} runs many
 * more seeds.
 */
final class RandomRunTest {

    private static final int SEEDS = 24;

    @Test
    void invariantsHoldForManySeeds() {
        List<RandomRun.Outcome> outcomes =
                LongStream.range(0, SEEDS).parallel().mapToObj(RandomRun::run).toList();
        List<RandomRun.Outcome> failed =
                outcomes.stream().filter(run -> run.violation() != null).toList();
        assertEquals(List.of(), failed, SEEDS + " seeds");
        assertTrue(outcomes.stream().allMatch(run -> run.reported() > 0), "changes in each run");
    }
}
