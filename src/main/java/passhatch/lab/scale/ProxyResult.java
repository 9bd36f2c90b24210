package passhatch.lab.scale;

import java.util.List;

/**
 * The resources that a proxy uses while it receives no requests, by the length of its list of
 * backends and the rate of changes to this list.
 *
 * @param failures descriptions of the failed measurements, each with the length of the list; a
 *     measurement fails if the proxy ends early or does not become ready
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
     * The measurement of a proxy at one length of its list of backends and one rate of changes.
     *
     * @param entries length of the list
     * @param changesPerSecond requested rate of changes
     * @param changes number of changes that were made
     * @param firstListBytes bytes that discovery sent to the proxy from its start until the first
     *     rate of changes was measured
     * @param processorShare processor time of the proxy, as a fraction of one core
     * @param discoveryBytesPerSecond bytes a second that discovery sent to the proxy, including all
     *     responses and watches
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
     * A line fitted to points.
     *
     * @param over the quantity on the x axis: entries or changes a second
     * @param at the value that all points have in the other quantity, which is a change rate or a
     *     number of entries
     */
    record Fit(String quantity, String over, int at, LinearFit line) {}
}
