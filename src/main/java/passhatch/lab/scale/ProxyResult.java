package passhatch.lab.scale;

import java.util.List;

/**
 * What a proxy without calls uses, by the length of its list and the rate of changes.
 *
 * @param failures what went wrong, by size: a proxy that ended, or did not get ready
 */
record ProxyResult(
        long seed,
        int memoryMb,
        int seconds,
        Machine machine,
        List<Point> points,
        List<Fit> fits,
        List<String> failures,
        List<Verdict> verdicts) {

    /**
     * One step.
     *
     * @param entries in the list
     * @param changesPerSecond that were asked for
     * @param changes that were made
     * @param firstListBytes that discovery sent until the proxy had settled after its start
     * @param processorShare of one core
     * @param discoveryBytesPerSecond that discovery sent to it, all answers and watches
     */
    record Point(
            int entries,
            int changesPerSecond,
            int changes,
            long firstListBytes,
            ProcessUsage usage,
            double processorShare,
            double discoveryBytesPerSecond) {}

    /**
     * A line through points.
     *
     * @param over what its x is: entries or changes a second
     * @param at the value that the points have in common: changes a second or entries
     */
    record Fit(String quantity, String over, int at, LinearFit line) {}
}
