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

/**
 * Computes the result of a drill from the load statistics and request counts, and checks it against
 * the expectations of the scenario.
 */
final class ResultEvaluator {

    /**
     * Minimum share of the requests in a window that have to be served for the proxies to count as
     * recovered from a fault.
     */
    private static final double MIN_SERVED_RATIO = 0.95;

    /**
     * Number of time steps of the load statistics in a window, which is one second long. A window
     * is used because a single time step may have too few requests for a reliable share.
     */
    private static final int STEPS_PER_WINDOW = 1_000 / LoadStats.STEP_MS;

    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

    private ResultEvaluator() {}

    static Result evaluate(
            Scenario scenario,
            LoadStats loadStats,
            RequestLedger ledger,
            List<FaultPlan.Step> steps,
            Map<String, Double> readyMs) {
        Map<String, Long> counts = new LinkedHashMap<>();
        counts.put("offered", loadStats.offered());
        for (Outcome outcome : Outcome.values()) {
            counts.put(outcome.name().toLowerCase(Locale.ROOT), loadStats.count(outcome));
        }
        counts.put("client_retries", loadStats.clientRetries());
        counts.put("attempts", ledger.attempts());
        counts.put("duplicates", ledger.duplicates());
        counts.put("too_often", ledger.requestsOverMaxAttempts());
        counts.put("after_drain", ledger.attemptsAfterDrain());
        double servedShare =
                loadStats.offered() == 0
                        ? 0
                        : (double) loadStats.count(Outcome.SERVED) / loadStats.offered();
        List<Result.Recovery> recoveries = measureRecoveries(loadStats, steps, scenario.duration());
        Map<String, Double> latencyMs = quantilesMs(loadStats.latencyUs());
        Map<String, Double> sendDelayMs = quantilesMs(loadStats.sendDelayUs());
        double maxSendDelayMs = toFractionalMillis(scenario.load().behind());
        String invalid =
                sendDelayMs.get("p99") <= maxSendDelayMs
                        ? null
                        : String.format(
                                Locale.ROOT,
                                "the machine is too busy: a hundredth of the requests went out over"
                                        + " %.1f ms late; %.1f ms is the bound",
                                sendDelayMs.get("p99"),
                                maxSendDelayMs);
        return new Result(
                scenario.name(),
                scenario.seed(),
                servedShare,
                counts,
                latencyMs,
                recoveries,
                sendDelayMs,
                readyMs,
                violations(scenario.expect(), servedShare, counts, latencyMs, recoveries),
                invalid);
    }

    private static Map<String, Double> quantilesMs(Histogram histogramUs) {
        Map<String, Double> all = new LinkedHashMap<>();
        for (double q : PERCENTILES) {
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

    private static double toFractionalMillis(Duration duration) {
        return duration.toNanos() / 1e6;
    }

    private static List<Result.Recovery> measureRecoveries(
            LoadStats loadStats, List<FaultPlan.Step> steps, Duration end) {
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
                            recoveryMs(loadStats.steps(), atMs, untilMs)));
        }
        return all;
    }

    /**
     * Returns the recovery time after a fault in milliseconds. This time ends at the end of the
     * last window before {@code untilMs} in which too few requests were served.
     *
     * @param atMs time of the fault
     * @param untilMs time at which the evaluation ends
     * @return 0 if enough requests were served in all windows, null if too few were served in the
     *     window that ends at {@code untilMs}
     */
    static Long recoveryMs(List<LoadStats.Step> steps, long atMs, long untilMs) {
        int first = (int) (atMs / LoadStats.STEP_MS);
        int last = (int) Math.min(steps.size(), untilMs / LoadStats.STEP_MS);
        int lastBad = -1;
        for (int i = first; i < last; i++) {
            int from = Math.max(first, i - STEPS_PER_WINDOW + 1);
            int offered = 0;
            int served = 0;
            for (LoadStats.Step step : steps.subList(from, i + 1)) {
                offered += step.offered();
                served += step.count(Outcome.SERVED);
            }
            if (served < MIN_SERVED_RATIO * offered
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
            Scenario.Expectations expectations,
            double servedShare,
            Map<String, Long> counts,
            Map<String, Double> latencyMs,
            List<Result.Recovery> recoveries) {
        List<String> violations = new ArrayList<>();
        if (expectations.served() != null && servedShare < expectations.served()) {
            violations.add(
                    String.format(
                            Locale.ROOT,
                            "served: %.4f of the requests, and at least %.4f is expected",
                            servedShare,
                            expectations.served()));
        }
        Map<String, Long> limits = new LinkedHashMap<>();
        limits.put("late", expectations.late());
        limits.put("refused", expectations.refused());
        limits.put("failed", expectations.failed());
        limits.put("cut", expectations.cut());
        limits.put("lost", expectations.lost());
        limits.put("spoilt", expectations.spoilt());
        limits.put("duplicates", expectations.duplicates());
        limits.put("too_often", expectations.tooOften());
        limits.put("after_drain", expectations.afterDrain());
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
        if (expectations.recovery() != null) {
            recoveries.stream()
                    .filter(r -> r.ms() == null || r.ms() > expectations.recovery().toMillis())
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
                                                    + expectations.recovery().toMillis()
                                                    + " ms is expected"));
        }
        if (expectations.p99() != null
                && latencyMs.get("p99") > toFractionalMillis(expectations.p99())) {
            violations.add(
                    "p99: "
                            + latencyMs.get("p99")
                            + " ms, and at most "
                            + toFractionalMillis(expectations.p99())
                            + " is expected");
        }
        return violations;
    }
}
