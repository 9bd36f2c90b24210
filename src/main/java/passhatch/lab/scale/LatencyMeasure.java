package passhatch.lab.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import passhatch.lab.Seeds;
import passhatch.lab.drill.ProxyChild;
import passhatch.lab.load.LoadGenerator;
import passhatch.lab.load.LoadPlan;
import passhatch.lab.load.LoadStats;
import passhatch.lab.load.Outcome;
import passhatch.lab.load.ProxyPool;

/** Gives one load to one path at a time and measures it. */
final class LatencyMeasure {

    private static final int MOST_US = 120_000_000;
    private static final int DIGITS = 3;
    private static final long LEAD_MS = 50;

    /** Calls of the first second open connections and are left out of the quantiles. */
    private static final int LEAD_IN_STEPS = 1_000 / LoadStats.STEP_MS;

    private static final int CONNECTIONS = 64;

    /** The load tool must not add a part of its own to times of a tenth of a millisecond. */
    private static final long TICK_US = 50;

    private static final long DEADLINE_US = 1_000_000;
    private static final String KIND = "look-up";
    private static final double SATURATED_SERVED = 0.99;
    private static final double SATURATED_SHARE = 0.9;

    private final ProxyChain chain;
    private final Seeds seeds;
    private final int seconds;
    private final int behindUs;
    private final int tries;

    /**
     * Measures on a chain.
     *
     * @param behindUs a step is void where a hundredth of its calls went out later than this
     * @param tries a void step is given again, so often in all
     */
    LatencyMeasure(ProxyChain chain, Seeds seeds, int seconds, int behindUs, int tries) {
        this.chain = chain;
        this.seeds = seeds;
        this.seconds = seconds;
        this.behindUs = behindUs;
        this.tries = tries;
    }

    /** Gives a load without measuring it: a JVM that has just started is slow. */
    void warmUp(int passes, int callsPerSecond, int forSeconds) throws InterruptedException {
        give(passes, callsPerSecond, forSeconds);
    }

    /** Measures one load on one path, again where the load tool fell behind. */
    LatencyResult.Step step(int passes, int entries, int callsPerSecond)
            throws IOException, InterruptedException {
        LatencyResult.Step step = once(passes, entries, callsPerSecond);
        for (int i = 1; i < tries && step.tooBusy(); i++) {
            step = once(passes, entries, callsPerSecond);
        }
        return step;
    }

    private LatencyResult.Step once(int passes, int entries, int callsPerSecond)
            throws IOException, InterruptedException {
        List<Double> before = processorSeconds(passes);
        long beganNs = System.nanoTime();
        LoadStats tally = give(passes, callsPerSecond, seconds + 1);
        double lastedS = (System.nanoTime() - beganNs) / 1e9;
        List<Double> after = processorSeconds(passes);
        long calls = tally.offered();
        double behindP99 = tally.sendDelayUs().getValueAtPercentile(99);
        double served = calls == 0 ? 0 : (double) tally.count(Outcome.SERVED) / calls;
        if (behindP99 > behindUs || calls == 0) {
            return new LatencyResult.Step(
                    passes,
                    entries,
                    callsPerSecond,
                    calls,
                    served,
                    behindP99,
                    null,
                    null,
                    null,
                    false);
        }
        double usedS = 0;
        double most = 0;
        for (int i = 0; i < passes; i++) {
            usedS += after.get(i) - before.get(i);
            most = Math.max(most, after.get(i) - before.get(i));
        }
        return new LatencyResult.Step(
                passes,
                entries,
                callsPerSecond,
                calls,
                served,
                behindP99,
                LatencyResult.Quantiles.of(afterLeadIn(tally)),
                passes == 0 ? null : usedS * 1e6 / passes / calls,
                passes == 0 ? null : most / lastedS,
                served < SATURATED_SERVED || most / lastedS > SATURATED_SHARE);
    }

    private LoadStats give(int passes, int callsPerSecond, int forSeconds)
            throws InterruptedException {
        ProxyPool front = new ProxyPool(List.of(chain.entrance(passes)));
        front.setAdmitted(0, true);
        LoadPlan plan =
                new LoadPlan(
                        callsPerSecond,
                        false,
                        TimeUnit.SECONDS.toMillis(forSeconds),
                        0,
                        CONNECTIONS,
                        1,
                        TICK_US,
                        List.of(
                                new LoadPlan.RequestClass(
                                        KIND, LoadPlan.Effect.SAFE, 1, DEADLINE_US)));
        try (LoadGenerator load = new LoadGenerator(plan, front, seeds)) {
            load.start(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LEAD_MS));
            return load.await();
        }
    }

    private List<Double> processorSeconds(int passes) throws IOException {
        List<Double> used = new ArrayList<>();
        for (ProxyChild proxy : chain.passed(passes)) {
            used.add(ProcessUsage.of(proxy.child().pid()).processorSeconds());
        }
        return used;
    }

    private static Histogram afterLeadIn(LoadStats tally) {
        Histogram us = new Histogram(MOST_US, DIGITS);
        tally.steps().stream().skip(LEAD_IN_STEPS).forEach(s -> us.add(s.latencyUs()));
        return us;
    }
}
