package passhatch.lab.drill;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import passhatch.lab.load.LoadStats;
import passhatch.lab.load.Outcome;
import passhatch.lab.standin.RequestLedger;

/** Computes a drill's result from its counts and checks it against the scenario's expectations. */
final class ResultEvaluator {

    /** Service counts as recovered when at least this share of the requests is served again. */
    private static final double RECOVERED_RATIO = 0.95;

    /** Steps per window; windows limit the effect of chance if a step has few requests. */
    private static final int WINDOW_STEPS = 1_000 / LoadStats.STEP_MS;

    private static final double[] QUANTILES = {50, 90, 99, 99.9, 100};

    private ResultEvaluator() {}

    static Result evaluate(
            Scenario scenario,
            LoadStats tally,
            RequestLedger ledger,
            List<FaultPlan.Step> steps,
            Map<String, Double> readyMs) {
        Map<String, Long> counts = new LinkedHashMap<>();
        counts.put("offered", tally.offered());
        for (Outcome outcome : Outcome.values()) {
            counts.put(outcome.name().toLowerCase(Locale.ROOT), tally.count(outcome));
        }
        counts.put("client_retries", tally.clientRetries());
        counts.put("attempts", ledger.attempts());
        counts.put("duplicates", ledger.duplicates());
        counts.put("too_often", ledger.requestsOverMaxAttempts());
        counts.put("after_drain", ledger.attemptsAfterDrain());
        double servedShare =
                tally.offered() == 0 ? 0 : (double) tally.count(Outcome.SERVED) / tally.offered();
        List<Result.Recovery> recoveries = recoveries(tally, steps, scenario.duration());
        Map<String, Double> latency = quantiles(tally.latencyUs());
        Map<String, Double> behind = quantiles(tally.sendDelayUs());
        double boundMs = millis(scenario.load().behind());
        String invalid =
                behind.get("p99") <= boundMs
                        ? null
                        : String.format(
                                Locale.ROOT,
                                "the machine is too busy: a hundredth of the requests went out over"
                                        + " %.1f ms late; %.1f ms is the bound",
                                behind.get("p99"),
                                boundMs);
        return new Result(
                scenario.name(),
                scenario.seed(),
                servedShare,
                counts,
                latency,
                recoveries,
                behind,
                readyMs,
                violations(scenario.expect(), servedShare, counts, latency, recoveries),
                invalid);
    }

    private static Map<String, Double> quantiles(Histogram histogramUs) {
        Map<String, Double> all = new LinkedHashMap<>();
        for (double q : QUANTILES) {
            String name =
                    q == 100
                            ? "max"
                            : "p"
                                    + (q == Math.rint(q)
                                            ? String.valueOf((int) q)
                                            : String.valueOf(q));
            all.put(name, histogramUs.getValueAtPercentile(q) / 1e3);
        }
        return all;
    }

    private static double millis(Duration duration) {
        return duration.toNanos() / 1e6;
    }

    private static List<Result.Recovery> recoveries(
            LoadStats tally, List<FaultPlan.Step> steps, Duration end) {
        List<Result.Recovery> all = new ArrayList<>();
        List<FaultPlan.Step> harmfulSteps =
                steps.stream().filter(s -> !s.type().undoesFault()).toList();
        for (int i = 0; i < harmfulSteps.size(); i++) {
            FaultPlan.Step fault = harmfulSteps.get(i);
            long atMs = fault.at().toMillis();
            long untilMs =
                    harmfulSteps.stream()
                            .skip(i + 1)
                            .mapToLong(s -> s.at().toMillis())
                            .filter(ms -> ms > atMs)
                            .findFirst()
                            .orElse(end.toMillis());
            all.add(
                    new Result.Recovery(
                            fault.type().label() + " " + fault.targetName(),
                            atMs,
                            recovery(tally.steps(), atMs, untilMs)));
        }
        return all;
    }

    /**
     * Returns the time in milliseconds from a fault to the end of the last window before {@code
     * untilMs} in which too few requests were served; 0 if there is none, null if service has not
     * recovered by then.
     */
    static Long recovery(List<LoadStats.Step> steps, long atMs, long untilMs) {
        int first = (int) (atMs / LoadStats.STEP_MS);
        int last = (int) Math.min(steps.size(), untilMs / LoadStats.STEP_MS);
        int lastBad = -1;
        for (int i = first; i < last; i++) {
            int from = Math.max(first, i - WINDOW_STEPS + 1);
            int offered = 0;
            int served = 0;
            for (LoadStats.Step step : steps.subList(from, i + 1)) {
                offered += step.offered();
                served += step.count(Outcome.SERVED);
            }
            if (served < RECOVERED_RATIO * offered
                    && steps.get(i).count(Outcome.SERVED) < steps.get(i).offered()) {
                lastBad = i;
            }
        }
        if (lastBad < 0) {
            return 0L;
        }
        return lastBad == last - 1 ? null : (lastBad + 1) * (long) LoadStats.STEP_MS - atMs;
    }

    private static List<String> violations(
            Scenario.Expectations expect,
            double servedShare,
            Map<String, Long> counts,
            Map<String, Double> latency,
            List<Result.Recovery> recoveries) {
        List<String> violations = new ArrayList<>();
        if (expect.served() != null && servedShare < expect.served()) {
            violations.add(
                    String.format(
                            Locale.ROOT,
                            "served: %.4f of the requests, and at least %.4f is expected",
                            servedShare,
                            expect.served()));
        }
        Map<String, Long> limits = new LinkedHashMap<>();
        limits.put("late", expect.late());
        limits.put("refused", expect.refused());
        limits.put("failed", expect.failed());
        limits.put("cut", expect.cut());
        limits.put("lost", expect.lost());
        limits.put("spoilt", expect.spoilt());
        limits.put("duplicates", expect.duplicates());
        limits.put("too_often", expect.tooOften());
        limits.put("after_drain", expect.afterDrain());
        limits.forEach(
                (name, limit) -> {
                    if (limit != null && counts.get(name) > limit) {
                        violations.add(
                                name
                                        + ": "
                                        + counts.get(name)
                                        + ", and at most "
                                        + limit
                                        + " is expected");
                    }
                });
        if (expect.recovery() != null) {
            recoveries.stream()
                    .filter(r -> r.ms() == null || r.ms() > expect.recovery().toMillis())
                    .forEach(
                            r ->
                                    violations.add(
                                            "recovery: after '"
                                                    + r.fault()
                                                    + "' at "
                                                    + r.atMs()
                                                    + " ms "
                                                    + (r.ms() == null ? "not back" : r.ms() + " ms")
                                                    + ", and at most "
                                                    + expect.recovery().toMillis()
                                                    + " ms is expected"));
        }
        if (expect.p99() != null && latency.get("p99") > millis(expect.p99())) {
            violations.add(
                    "p99: "
                            + latency.get("p99")
                            + " ms, and at most "
                            + millis(expect.p99())
                            + " is expected");
        }
        return violations;
    }
}
