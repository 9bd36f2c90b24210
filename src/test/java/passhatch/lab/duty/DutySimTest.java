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

/** Random faults by seed; more seeds by {@code passhatch-lab.jar duty random}. */
class DutySimTest {

    private static final int SEEDS = 400;

    private static List<RunResult> simulate(
            StateMachineFactory parts, Shape shape, Predicate<RunResult> that) {
        return LongStream.range(0, SEEDS)
                .parallel()
                .mapToObj(seed -> DutySim.simulate(parts, shape, seed))
                .filter(that)
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
     * Beyond the bound on drift two may act, and still nothing older is carried out after something
     * newer.
     */
    @Test
    void fencingTokensHoldBeyondTheBoundOnDrift() {
        Shape shape = new Shape(5, 5, 15, 0.01, 0.3);
        List<RunResult> all = simulate(StateMachineFactory.PRODUCTION, shape, o -> true);
        assertEquals(
                List.of(),
                all.stream().map(RunResult::violation).filter(Objects::nonNull).toList());
        assertTrue(
                all.stream().mapToInt(RunResult::overlaps).sum() > 0,
                "the bound was not passed at all");
    }

    @Test
    void aMajorityThatIsCountedWronglyIsDetected() {
        StateMachineFactory wrong =
                new StateMachineFactory() {
                    @Override
                    public Candidate createCandidate(
                            DutySettings s,
                            String duty,
                            String holder,
                            RandomGenerator random,
                            DutyActions actions) {
                        return new Candidate(s, duty, holder, 0, random, actions) {
                            @Override
                            protected int majority() {
                                return s.voters().size() / 2;
                            }
                        };
                    }
                };
        assertTrue(
                !simulate(wrong, new Shape(3, 3, 15, 0.01, 0.01), o -> o.violation() != null)
                        .isEmpty());
    }
}
