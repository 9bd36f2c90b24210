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
 * Creates the state machines that are checked: those of the program, or variants with an error that
 * the check has to detect.
 */
public interface StateMachineFactory {

    /** Creates the state machines of the program. */
    StateMachineFactory PRODUCTION = new StateMachineFactory() {};

    /** Creates a voter that starts with the promises on its disk. */
    default Voter createVoter(
            DutySettings settings,
            long nowUs,
            Collection<Promise> promises,
            Predicate<Promise> savePromise) {
        return new Voter(settings, nowUs, promises, savePromise);
    }

    /** Creates a candidate of rank 0. */
    default Candidate createCandidate(
            DutySettings settings,
            String duty,
            String holder,
            RandomGenerator random,
            DutyActions actions) {
        return new Candidate(settings, duty, holder, 0, random, actions);
    }
}
