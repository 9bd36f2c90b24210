package passhatch.lab.scale;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Latency of requests on paths of several lengths, and what the proxies added to it.
 *
 * @param topology how the proxies were chained
 * @param targetUs limit of the latency that the longest path may add at the 99th percentile
 * @param tooBusy whether the load tool fell behind in any step; such a step has no figures
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

    /** Quantiles of the latency in microseconds, measured from when requests were due. */
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
     * @param proxies number of proxies that a request passes; 0 for direct requests
     * @param entries length of the last proxy's list
     * @param servedShare fraction of the requests that was served
     * @param behindP99Us how long after they were due requests were sent, at the 99th percentile
     * @param latencyUs null if the load tool fell behind
     * @param processorUsPerCall processor time per request, as the mean over the proxies passed;
     *     null for direct requests, and if the load tool fell behind
     * @param busiestShare fraction of a core that the busiest proxy used; null in the same cases
     * @param saturated whether requests failed or a proxy used nearly all of its core
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
     * Latency that a path added to that of direct requests under the same load.
     *
     * @param ratioP99 the path's 99th percentile divided by that of direct requests
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
