package passhatch.lab.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Safety and convergence with random faults; many more seeds by {@code lab distribution}. */
final class RandomRunTest {

    private static final int SEEDS = 24;

    @Test
    void allPromisesHoldOverManySeeds() {
        List<RandomRun.Outcome> all =
                LongStream.range(0, SEEDS).parallel().mapToObj(RandomRun::play).toList();
        List<RandomRun.Outcome> broken = all.stream().filter(run -> run.broken() != null).toList();
        assertEquals(List.of(), broken, SEEDS + " seeds");
        assertTrue(all.stream().allMatch(run -> run.reported() > 0), "changes in each run");
    }
}
