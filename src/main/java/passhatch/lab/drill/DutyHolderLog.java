package passhatch.lab.drill;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Acts on a duty as they were seen from outside, and whether two processes had it: of two acts of
 * which one ended before the other began, the later must not have the lesser term, and one term is
 * one process's.
 */
final class DutyHolderLog {

    /** A process was asked whether it may act, and some time between the two times it was so. */
    record Observation(int process, long term, long startNs, long endNs) {}

    private final List<Observation> observations = new ArrayList<>();

    synchronized void add(Observation observation) {
        observations.add(observation);
    }

    synchronized List<Observation> all() {
        return List.copyOf(observations);
    }

    /** What must not be; empty where all is well. */
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
