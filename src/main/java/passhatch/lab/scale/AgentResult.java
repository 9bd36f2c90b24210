package passhatch.lab.scale;

import java.util.List;

/**
 * The resources that one agent uses in fleets of several sizes.
 *
 * @param failures descriptions of the failed measurements, each with the size of the fleet; a
 *     measurement fails if an agent ends early or if the measured agent never sees all members
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
     * The resources that one agent used in a fleet without failures or changes.
     *
     * @param processes number of members that are agent processes; the others run inside the
     *     measuring tool
     * @param duties whether three agent processes are voters and candidates for a duty
     * @param processorShare processor time of the agent, as a fraction of one core
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

    /** A line that is fitted to a quantity as a function of the number of members. */
    record Fit(String quantity, boolean duties, LinearFit line) {}
}
