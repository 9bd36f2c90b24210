package passhatch.lab.scale;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * The latency of requests on paths through several numbers of proxies, and the part of the latency
 * that the proxies added.
 *
 * @param topology how the proxies were chained
 * @param targetUs maximum latency that the longest path may add at the 99th percentile, in
 *     microseconds
 * @param tooBusy whether the load tool fell behind in any step; a step in which it did has no
 *     latencies
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

    /**
     * Quantiles of the latency in microseconds. The latency of a request counts from the time at
     * which the request was due to be sent.
     */
    record Quantiles(long p50, long p99, long p999) {
        static Quantiles of(Histogram latencyUs) {
            return new Quantiles(
                    latencyUs.getValueAtPercentile(50),
                    latencyUs.getValueAtPercentile(99),
                    latencyUs.getValueAtPercentile(99.9));
        }
    }

    /**
     * The result of one load on one path.
     *
     * @param proxies number of proxies that a request passes; 0 for direct requests
     * @param entries length of the last proxy's list
     * @param servedShare fraction of the requests that were served
     * @param behindP99Us time from when a request was due until it was sent, at the 99th
     *     percentile, in microseconds
     * @param latencyUs quantiles of the latency; null if the load tool fell behind
     * @param processorUsPerCall processor time per request in microseconds, as the mean over the
     *     proxies on the path; null for direct requests, and if the load tool fell behind
     * @param busiestShare fraction of a core that the busiest proxy used; null for direct requests,
     *     and if the load tool fell behind
     * @param saturated whether the path was overloaded, because too few requests were served or a
     *     proxy used nearly all of its core
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
     * Latency of a path minus the latency of direct requests under the same load.
     *
     * @param ratioP99 the path's 99th percentile divided by the 99th percentile of direct requests
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
