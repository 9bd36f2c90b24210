package passhatch.lab.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import passhatch.duty.Candidate;
import passhatch.duty.DutyActions;
import passhatch.duty.DutySettings;
import passhatch.lab.duty.DutySim.RunResult;
import passhatch.lab.duty.DutySim.Shape;

/** Random faults by seed; {@code passhatch-lab.jar duty random} runs more seeds. */
class DutySimTest {

    private static final int SEEDS = 400;

    private static List<RunResult> simulate(
            StateMachineFactory factory, Shape shape, Predicate<RunResult> filter) {
        return LongStream.range(0, SEEDS)
                .parallel()
                .mapToObj(seed -> DutySim.simulate(factory, shape, seed))
                .filter(filter)
                .toList();
    }

    @Test
    void atMostOneCandidateActsAndTermsIncrease() {
        for (Shape shape :
                List.of(
                        new Shape(3, 3, 15, 0.01, 0.01),
                        new Shape(5, 6, 20, 0.05, 0.05),
                        new Shape(7, 2, 20, 0, 0))) {
            assertEquals(
                    List.of(),
                    simulate(StateMachineFactory.PRODUCTION, shape, o -> o.violation() != null)
                            .stream()
                            .map(RunResult::violation)
                            .toList(),
                    shape::toString);
        }
    }

    /**
     * With clocks that drift beyond the allowed bound two candidates may act, but no action with an
     * older token is executed after one with a newer token.
     */
    @Test
    void fencingTokensHoldBeyondTheBoundOnDrift() {
        Shape shape = new Shape(5, 5, 15, 0.01, 0.3);
        List<RunResult> results = simulate(StateMachineFactory.PRODUCTION, shape, o -> true);
        assertEquals(
                List.of(),
                results.stream().map(RunResult::violation).filter(Objects::nonNull).toList());
        assertTrue(
                results.stream().mapToInt(RunResult::overlaps).sum() > 0,
                "no run had two acting candidates: the drift had no effect");
    }

    @Test
    void aMajorityThatIsCountedWronglyIsDetected() {
        StateMachineFactory faulty =
                new StateMachineFactory() {
                    @Override
                    public Candidate createCandidate(
                            DutySettings settings,
                            String duty,
                            String holder,
                            RandomGenerator random,
                            DutyActions actions) {
                        return new Candidate(settings, duty, holder, 0, random, actions) {
                            @Override
                            protected int majority() {
                                return settings.voters().size() / 2;
                            }
                        };
                    }
                };
        assertTrue(
                !simulate(faulty, new Shape(3, 3, 15, 0.01, 0.01), o -> o.violation() != null)
                        .isEmpty());
    }
}
