package passhatch.lab.scale;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What calls took on paths of several lengths, and what proxies added.
 *
 * @param topology how proxies were put in a row
 * @param targetUs the limit of what the longest path may add at the 99th percentile
 * @param tooBusy whether the load tool fell behind in any step, which has no figures then
 */
record LatencyResult(
        long seed,
        int seconds,
        String topology,
        double targetUs,
        Machine machine,
        boolean tooBusy,
        List<Step> steps,
        List<Added> added,
        List<Verdict> verdicts) {

    /** Quantiles in microseconds, counted from when calls were due. */
    record Quantiles(long p50, long p99, long p999) {
        static Quantiles of(Histogram latencyUs) {
            return new Quantiles(
                    latencyUs.getValueAtPercentile(50),
                    latencyUs.getValueAtPercentile(99),
                    latencyUs.getValueAtPercentile(99.9));
        }
    }

    /**
     * One load on one path.
     *
     * @param proxies that calls pass; 0 for direct ones
     * @param entries in the list of the last proxy
     * @param servedShare of the calls
     * @param behindP99Us how much later than due a hundredth of the calls went out
     * @param latencyUs null where the load tool fell behind
     * @param processorUsPerCall mean over the proxies passed; null for direct calls, and where the
     *     load tool fell behind
     * @param busiestShare of a core, of the proxy that took most; null likewise
     * @param saturated whether calls failed, or a proxy had no more of its core
     */
    record Step(
            int proxies,
            int entries,
            int callsPerSecond,
            long calls,
            double servedShare,
            double behindP99Us,
            Quantiles latencyUs,
            Double processorUsPerCall,
            Double busiestShare,
            boolean saturated) {
        boolean tooBusy() {
            return latencyUs == null;
        }
    }

    /**
     * What a path took more than the direct one under the same load.
     *
     * @param ratioP99 to the direct call
     */
    record Added(
            int proxies,
            int entries,
            int callsPerSecond,
            long p50Us,
            long p99Us,
            long p999Us,
            double ratioP99) {
        static Added of(Step direct, Step path) {
            Quantiles directLatency = direct.latencyUs();
            Quantiles pathLatency = path.latencyUs();
            return new Added(
                    path.proxies(),
                    path.entries(),
                    path.callsPerSecond(),
                    pathLatency.p50() - directLatency.p50(),
                    pathLatency.p99() - directLatency.p99(),
                    pathLatency.p999() - directLatency.p999(),
                    (double) pathLatency.p99() / Math.max(1, directLatency.p99()));
        }
    }
}
