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
 * The model checker finds nothing in the program's state machines, and each of five errors put into
 * them.
 */
class DutyCheckerTest {

    private static DutyChecker.Result check(
            String what, StateMachineFactory parts, int depth, int ticks, int crashes, int copies) {
        DutyChecker.Result found = new DutyChecker(parts, depth, ticks, crashes, copies).run();
        System.out.println("duties, " + what + ": " + found);
        return found;
    }

    @Test
    void noViolationIsFoundInTheProductionStateMachines() {
        DutyChecker.Result found =
                check("the program's own, 8 steps", StateMachineFactory.PRODUCTION, 8, 3, 1, 1);
        assertNull(found.violation());
        assertTrue(found.states() > 50_000, "so few states that the steps cannot have worked");
        assertNull(
                check(
                                "the program's own, 9 steps without copies",
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
                                "promise not forced",
                                new StateMachineFactory() {
                                    @Override
                                    public Voter createVoter(
                                            DutySettings s,
                                            long nowUs,
                                            Collection<Promise> promises,
                                            Predicate<Promise> disk) {
                                        return new Voter(s, nowUs, promises, disk) {
                                            @Override
                                            protected boolean persist(Promise promise) {
                                                // As if the crash took what was not forced.
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
                                            DutySettings s,
                                            long nowUs,
                                            Collection<Promise> promises,
                                            Predicate<Promise> disk) {
                                        return new Voter(s, nowUs, promises, disk) {
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
                                            DutySettings s,
                                            long nowUs,
                                            Collection<Promise> promises,
                                            Predicate<Promise> disk) {
                                        return new Voter(s, nowUs, promises, disk) {
                                            @Override
                                            protected long boundAfterStartUs(long us) {
                                                return us;
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
                                            DutySettings s,
                                            String duty,
                                            String holder,
                                            RandomGenerator r,
                                            DutyActions a) {
                                        return new Candidate(s, duty, holder, 0, r, a) {
                                            @Override
                                            protected int majority() {
                                                return s.voters().size() / 2;
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
                                "lease counted from the answer",
                                new StateMachineFactory() {
                                    @Override
                                    public Candidate createCandidate(
                                            DutySettings s,
                                            String duty,
                                            String holder,
                                            RandomGenerator r,
                                            DutyActions a) {
                                        return new Candidate(s, duty, holder, 0, r, a) {
                                            @Override
                                            protected long leaseStartUs(long asked, long nowUs) {
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
