package passhatch.lab.duty;

import java.util.Collection;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import passhatch.duty.Candidate;
import passhatch.duty.DutyActions;
import passhatch.duty.DutySettings;
import passhatch.duty.Promise;
import passhatch.duty.Voter;

/**
 * Makes the state machines that are checked: the program's own, or ones with an error that has to
 * be found.
 */
public interface StateMachineFactory {

    /** The program's own. */
    StateMachineFactory PRODUCTION = new StateMachineFactory() {};

    /** A voter that starts with what its disk has. */
    default Voter createVoter(
            DutySettings settings,
            long nowUs,
            Collection<Promise> promises,
            Predicate<Promise> disk) {
        return new Voter(settings, nowUs, promises, disk);
    }

    /** A candidate. */
    default Candidate createCandidate(
            DutySettings settings,
            String duty,
            String holder,
            RandomGenerator random,
            DutyActions actions) {
        return new Candidate(settings, duty, holder, 0, random, actions);
    }
}
