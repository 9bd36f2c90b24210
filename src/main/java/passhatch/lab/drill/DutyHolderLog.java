package passhatch.lab.drill;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Records which processes held a duty, as observed from outside, and checks that no two processes
 * held it at once. If one observation ended before another one began, the later observation must
 * have a higher term, or the same term and the same process.
 */
final class DutyHolderLog {

    /**
     * One report by a process that it may act as the holder of the duty in a term. The report was
     * true at some time between {@code startNs} and {@code endNs}.
     */
    record Observation(int process, long term, long startNs, long endNs) {}

    private final List<Observation> observations = new ArrayList<>();

    synchronized void add(Observation observation) {
        observations.add(observation);
    }

    synchronized List<Observation> observations() {
        return List.copyOf(observations);
    }

    /**
     * Returns a description of each observation that contradicts an earlier one; empty if there are
     * no contradictions.
     */
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
