package passhatch.lab.scale;

import java.util.List;

/**
 * What one agent uses in fleets of several sizes.
 *
 * @param failures what went wrong, by size: an agent that ended, or never saw all members alive
 */
record AgentResult(
        long seed,
        int seconds,
        Machine machine,
        List<Point> points,
        List<Fit> fits,
        List<String> failures) {

    /**
     * One fleet at rest.
     *
     * @param processes of the members, so many are real agents, the others hollow
     * @param duties whether three real agents vote on a duty and stand for it
     * @param processorShare of one core
     */
    record Point(
            int members,
            int processes,
            boolean duties,
            ProcessUsage usage,
            double processorShare,
            double sentBytesPerSecond,
            double sentPerSecond,
            double receivedPerSecond) {}

    /** A line over the number of members. */
    record Fit(String quantity, boolean duties, LinearFit line) {}
}
