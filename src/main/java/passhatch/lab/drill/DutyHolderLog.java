package passhatch.lab.drill;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Records which processes held a duty, as observed from outside, and checks that no two held it at
 * once: if one observation ended before another began, the later one must not have a lower term,
 * and must have the same process if it has the same term.
 */
final class DutyHolderLog {

    /**
     * A process that reported that it may act; this was true at some time between the two times.
     */
    record Observation(int process, long term, long startNs, long endNs) {}

    private final List<Observation> observations = new ArrayList<>();

    synchronized void add(Observation observation) {
        observations.add(observation);
    }

    synchronized List<Observation> observations() {
        return List.copyOf(observations);
    }

    /** Returns the observations that contradict an earlier one; empty if there are none. */
    synchronized List<String> violations() {
        List<String> violations = new ArrayList<>();
        List<Observation> byEnd = new ArrayList<>(observations);
        byEnd.sort(Comparator.comparingLong(Observation::endNs));
        List<Observation> byStart = new ArrayList<>(observations);
        byStart.sort(Comparator.comparingLong(Observation::startNs));
        int nextByEnd = 0;
        Observation highestTerm = null;
        for (Observation observation : byStart) {
            while (nextByEnd < byEnd.size()
                    && byEnd.get(nextByEnd).endNs() < observation.startNs()) {
                Observation earlier = byEnd.get(nextByEnd++);
                highestTerm =
                        highestTerm == null || earlier.term() >= highestTerm.term()
                                ? earlier
                                : highestTerm;
            }
            if (highestTerm != null
                    && (observation.term() < highestTerm.term()
                            || observation.term() == highestTerm.term()
                                    && observation.process() != highestTerm.process())) {
                violations.add(observation + " after " + highestTerm);
            }
        }
        return violations;
    }
}
