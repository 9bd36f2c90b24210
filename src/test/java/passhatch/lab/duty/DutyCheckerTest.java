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

    private static DutyChecker.Found check(
            String what, Parts parts, int depth, int ticks, int crashes, int copies) {
        DutyChecker.Found found = new DutyChecker(parts, depth, ticks, crashes, copies).run();
        System.out.println("duties, " + what + ": " + found);
        return found;
    }

    @Test
    void nothingIsFoundInTheProgramsOwn() {
        DutyChecker.Found found = check("the program's own, 8 steps", Parts.OWN, 8, 3, 1, 1);
        assertNull(found.broken());
        assertTrue(found.states() > 50_000, "so few states that the steps cannot have worked");
        assertNull(
                check("the program's own, 9 steps without copies", Parts.OWN, 9, 3, 2, 0).broken());
    }

    @Test
    void aPromiseThatIsNotForcedIsFound() {
        assertNotNull(
                check(
                                "promise not forced",
                                new Parts() {
                                    @Override
                                    public Voter voter(
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
                        .broken());
    }

    @Test
    void aTermThatIsGrantedTwiceIsFound() {
        assertNotNull(
                check(
                                "term reused",
                                new Parts() {
                                    @Override
                                    public Voter voter(
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
                        .broken());
    }

    @Test
    void aGrantRightAfterARestartIsFound() {
        assertNotNull(
                check(
                                "grant after restart",
                                new Parts() {
                                    @Override
                                    public Voter voter(
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
                        .broken());
    }

    @Test
    void aMajorityThatIsCountedWronglyIsFound() {
        assertNotNull(
                check(
                                "majority counted wrongly",
                                new Parts() {
                                    @Override
                                    public Candidate candidate(
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
                        .broken());
    }

    @Test
    void aLeaseThatIsCountedFromTheAnswerIsFound() {
        assertNotNull(
                check(
                                "lease counted from the answer",
                                new Parts() {
                                    @Override
                                    public Candidate candidate(
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
                        .broken());
    }
}
