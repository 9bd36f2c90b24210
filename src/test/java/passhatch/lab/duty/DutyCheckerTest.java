package passhatch.lab.duty;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import passhatch.duty.Candidate;
import passhatch.duty.DutyActions;
import passhatch.duty.DutySettings;
import passhatch.duty.Promise;
import passhatch.duty.Voter;

/**
 * The model checker finds no violation in the state machines of the program, and detects each of
 * five errors that are built into variants of them.
 */
class DutyCheckerTest {

    private static DutyChecker.Result check(
            String description,
            StateMachineFactory factory,
            int depth,
            int ticks,
            int crashes,
            int copies) {
        DutyChecker.Result result = new DutyChecker(factory, depth, ticks, crashes, copies).run();
        System.out.println("duties, " + description + ": " + result);
        return result;
    }

    @Test
    void noViolationIsFoundInTheProductionStateMachines() {
        DutyChecker.Result result =
                check("production, 8 steps", StateMachineFactory.PRODUCTION, 8, 3, 1, 1);
        assertNull(result.violation());
        assertTrue(result.states() > 50_000, "too few states: steps had no effect");
        assertNull(
                check(
                                "production, 9 steps without copies",
                                StateMachineFactory.PRODUCTION,
                                9,
                                3,
                                2,
                                0)
                        .violation());
    }

    @Test
    void aPromiseThatIsNotForcedToDiskIsDetected() {
        assertNotNull(
                check(
                                "promise not forced to disk",
                                new StateMachineFactory() {
                                    @Override
                                    public Voter createVoter(
                                            DutySettings settings,
                                            long nowUs,
                                            Collection<Promise> promises,
                                            Predicate<Promise> disk) {
                                        return new Voter(settings, nowUs, promises, disk) {
                                            @Override
                                            protected boolean persist(Promise promise) {
                                                // As if a crash lost what was not forced to disk.
                                                return !promise.duty().isEmpty()
                                                        || super.persist(promise);
                                            }
                                        };
                                    }
                                },
                                12,
                                0,
                                1,
                                0)
                        .violation());
    }

    @Test
    void aTermThatIsGrantedTwiceIsDetected() {
        assertNotNull(
                check(
                                "term reused",
                                new StateMachineFactory() {
                                    @Override
                                    public Voter createVoter(
                                            DutySettings settings,
                                            long nowUs,
                                            Collection<Promise> promises,
                                            Predicate<Promise> disk) {
                                        return new Voter(settings, nowUs, promises, disk) {
                                            @Override
                                            protected boolean isNewer(long term, Promise promised) {
                                                return term >= promised.term();
                                            }
                                        };
                                    }
                                },
                                12,
                                2,
                                0,
                                0)
                        .violation());
    }

    @Test
    void aGrantRightAfterARestartIsDetected() {
        assertNotNull(
                check(
                                "grant after restart",
                                new StateMachineFactory() {
                                    @Override
                                    public Voter createVoter(
                                            DutySettings settings,
                                            long nowUs,
                                            Collection<Promise> promises,
                                            Predicate<Promise> disk) {
                                        return new Voter(settings, nowUs, promises, disk) {
                                            @Override
                                            protected long boundUntilAfterStartUs(long startUs) {
                                                return startUs;
                                            }
                                        };
                                    }
                                },
                                12,
                                0,
                                1,
                                0)
                        .violation());
    }

    @Test
    void aMajorityThatIsCountedWronglyIsDetected() {
        assertNotNull(
                check(
                                "majority counted wrongly",
                                new StateMachineFactory() {
                                    @Override
                                    public Candidate createCandidate(
                                            DutySettings settings,
                                            String duty,
                                            String holder,
                                            RandomGenerator random,
                                            DutyActions actions) {
                                        return new Candidate(
                                                settings, duty, holder, 0, random, actions) {
                                            @Override
                                            protected int majority() {
                                                return settings.voters().size() / 2;
                                            }
                                        };
                                    }
                                },
                                10,
                                0,
                                0,
                                0)
                        .violation());
    }

    @Test
    void aLeaseThatIsCountedFromTheReplyIsDetected() {
        assertNotNull(
                check(
                                "lease counted from the reply",
                                new StateMachineFactory() {
                                    @Override
                                    public Candidate createCandidate(
                                            DutySettings settings,
                                            String duty,
                                            String holder,
                                            RandomGenerator random,
                                            DutyActions actions) {
                                        return new Candidate(
                                                settings, duty, holder, 0, random, actions) {
                                            @Override
                                            protected long leaseStartUs(
                                                    long requestUs, long nowUs) {
                                                return nowUs;
                                            }
                                        };
                                    }
                                },
                                12,
                                2,
                                0,
                                0)
                        .violation());
    }
}
