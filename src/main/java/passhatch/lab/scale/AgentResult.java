package passhatch.lab.scale;

import java.util.List;

/**
 * Resources that one agent uses in fleets of several sizes.
 *
 * @param failures the failures, each with its fleet size: an agent ended, or never saw all members
 *     alive
 */
record AgentResult(
        long seed,
        int seconds,
        Machine machine,
        List<Point> points,
        List<Fit> fits,
        List<String> failures) {

    /**
     * One fleet without failures or changes.
     *
     * @param processes number of members that are agent processes; the others run inside the tool
     * @param duties whether three agent processes are voters and candidates for a duty
     * @param processorShare fraction of one core
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

    /** A line fitted over the number of members. */
    record Fit(String quantity, boolean duties, LinearFit line) {}
}
