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
public interface Parts {

    /** The program's own. */
    Parts OWN = new Parts() {};

    /** A voter that starts with what its disk has. */
    default Voter voter(
            DutySettings settings,
            long nowUs,
            Collection<Promise> promises,
            Predicate<Promise> disk) {
        return new Voter(settings, nowUs, promises, disk);
    }

    /** A candidate. */
    default Candidate candidate(
            DutySettings settings,
            String duty,
            String holder,
            RandomGenerator random,
            DutyActions actions) {
        return new Candidate(settings, duty, holder, 0, random, actions);
    }
}
