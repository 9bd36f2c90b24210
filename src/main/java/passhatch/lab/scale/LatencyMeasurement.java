package passhatch.lab.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import passhatch.lab.Seeds;
import passhatch.lab.drill.ProxyProcess;
import passhatch.lab.load.LoadGenerator;
import passhatch.lab.load.LoadPlan;
import passhatch.lab.load.LoadStats;
import passhatch.lab.load.Outcome;
import passhatch.lab.load.ProxyPool;

/**
 * Sends load through the paths of a chain of proxies, one path at a time, and measures the latency
 * of the requests.
 */
final class LatencyMeasurement {

    private static final int MAX_LATENCY_US = 120_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long START_DELAY_MS = 50;

    /**
     * Number of time steps at the start of a load that are left out of the quantiles. They are one
     * second in all. The requests in these steps open connections, which takes time.
     */
    private static final int SKIPPED_STEPS = 1_000 / LoadStats.STEP_MS;

    private static final int CONNECTIONS = 64;

    /**
     * Interval at which the load generator checks for due requests, in microseconds. It is short,
     * because the load generator must not add noticeably to latencies of a tenth of a millisecond.
     */
    private static final long TICK_US = 50;

    private static final long DEADLINE_US = 1_000_000;
    private static final String REQUEST_CLASS = "look-up";
    private static final double SATURATION_SERVED_RATIO = 0.99;
    private static final double SATURATION_PROCESSOR_RATIO = 0.9;

    private final ProxyChain chain;
    private final Seeds seeds;
    private final int seconds;
    private final int maxBehindUs;
    private final int maxAttempts;

    /**
     * Prepares measurements on a chain of proxies.
     *
     * @param seconds duration of each step, not counting the first second, which is left out
     * @param maxBehindUs maximum time in microseconds from when a request is due until it is sent,
     *     at the 99th percentile; a step that exceeds this time is void, which means that it has no
     *     latencies
     * @param maxAttempts maximum number of times that a step is run; a step is run again only if
     *     its last run was void
     */
    LatencyMeasurement(
            ProxyChain chain, Seeds seeds, int seconds, int maxBehindUs, int maxAttempts) {
        this.chain = chain;
        this.seeds = seeds;
        this.seconds = seconds;
        this.maxBehindUs = maxBehindUs;
        this.maxAttempts = maxAttempts;
    }

    /** Runs a load without measuring it, because a JVM that has just started is slow. */
    void warmUp(int proxyCount, int requestsPerSecond, int durationSeconds)
            throws InterruptedException {
        runLoad(proxyCount, requestsPerSecond, durationSeconds);
    }

    /**
     * Measures one load on one path. If the load generator falls behind, repeats the measurement
     * until {@code maxAttempts} is reached.
     *
     * @param proxyCount number of proxies on the path; 0 for direct requests
     * @param entries length of the last proxy's list, which is only recorded in the result
     */
    LatencyResult.Step measureStep(int proxyCount, int entries, int requestsPerSecond)
            throws IOException, InterruptedException {
        LatencyResult.Step step = measureOnce(proxyCount, entries, requestsPerSecond);
        for (int i = 1; i < maxAttempts && step.tooBusy(); i++) {
            step = measureOnce(proxyCount, entries, requestsPerSecond);
        }
        return step;
    }

    private LatencyResult.Step measureOnce(int proxyCount, int entries, int requestsPerSecond)
            throws IOException, InterruptedException {
        List<Double> processorSecondsBefore = readProcessorSeconds(proxyCount);
        long startNs = System.nanoTime();
        LoadStats stats = runLoad(proxyCount, requestsPerSecond, seconds + 1);
        double elapsedSeconds = (System.nanoTime() - startNs) / 1e9;
        List<Double> processorSecondsAfter = readProcessorSeconds(proxyCount);
        long requests = stats.offered();
        double behindP99Us = stats.sendDelayUs().getValueAtPercentile(99);
        double servedRatio = requests == 0 ? 0 : (double) stats.count(Outcome.SERVED) / requests;
        if (behindP99Us > maxBehindUs || requests == 0) {
            return new LatencyResult.Step(
                    proxyCount,
                    entries,
                    requestsPerSecond,
                    requests,
                    servedRatio,
                    behindP99Us,
                    null,
                    null,
                    null,
                    false);
        }
        double totalProcessorSeconds = 0;
        double maxProcessorSeconds = 0;
        for (int i = 0; i < proxyCount; i++) {
            totalProcessorSeconds += processorSecondsAfter.get(i) - processorSecondsBefore.get(i);
            maxProcessorSeconds =
                    Math.max(
                            maxProcessorSeconds,
                            processorSecondsAfter.get(i) - processorSecondsBefore.get(i));
        }
        return new LatencyResult.Step(
                proxyCount,
                entries,
                requestsPerSecond,
                requests,
                servedRatio,
                behindP99Us,
                LatencyResult.Quantiles.of(latencyAfterSkippedSteps(stats)),
                proxyCount == 0 ? null : totalProcessorSeconds * 1e6 / proxyCount / requests,
                proxyCount == 0 ? null : maxProcessorSeconds / elapsedSeconds,
                servedRatio < SATURATION_SERVED_RATIO
                        || maxProcessorSeconds / elapsedSeconds > SATURATION_PROCESSOR_RATIO);
    }

    private LoadStats runLoad(int proxyCount, int requestsPerSecond, int durationSeconds)
            throws InterruptedException {
        ProxyPool entryProxy = new ProxyPool(List.of(chain.entryAddress(proxyCount)));
        entryProxy.setAdmitted(0, true);
        LoadPlan plan =
                new LoadPlan(
                        requestsPerSecond,
                        false,
                        TimeUnit.SECONDS.toMillis(durationSeconds),
                        0,
                        CONNECTIONS,
                        1,
                        TICK_US,
                        List.of(
                                new LoadPlan.RequestClass(
                                        REQUEST_CLASS, LoadPlan.Effect.SAFE, 1, DEADLINE_US)));
        try (LoadGenerator load = new LoadGenerator(plan, entryProxy, seeds)) {
            load.start(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_DELAY_MS));
            return load.await();
        }
    }

    private List<Double> readProcessorSeconds(int proxyCount) throws IOException {
        List<Double> processorSeconds = new ArrayList<>();
        for (ProxyProcess proxy : chain.proxiesOnPath(proxyCount)) {
            processorSeconds.add(ProcessUsage.read(proxy.process().pid()).processorSeconds());
        }
        return processorSeconds;
    }

    private static Histogram latencyAfterSkippedSteps(LoadStats stats) {
        Histogram latencyUs = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        stats.steps().stream().skip(SKIPPED_STEPS).forEach(s -> latencyUs.add(s.latencyUs()));
        return latencyUs;
    }
}
