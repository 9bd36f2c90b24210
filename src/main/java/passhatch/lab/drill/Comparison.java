package passhatch.lab.drill;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.statistics.descriptive.Mean;
import org.apache.commons.statistics.descriptive.Variance;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * Compares the results of two sets of drill runs, A and B. For each measure, the comparison gives
 * the mean of each set, the difference of the means, and the confidence interval of the difference.
 * The interval is computed by Welch's method, which does not assume equal variances. There is no
 * interval if a set has only one run.
 */
final class Comparison {

    private static final double CONFIDENCE_LEVEL = 0.95;

    /**
     * The comparison of one measure, such as a latency, between the two sets.
     *
     * @param meanA mean of set A
     * @param meanB mean of set B
     * @param difference mean of set B minus mean of set A
     * @param intervalLow lower bound of the confidence interval of the difference; NaN if a set has
     *     only one run
     * @param intervalHigh upper bound of the confidence interval; NaN if a set has only one run
     */
    record Row(
            String measure,
            double meanA,
            double meanB,
            double difference,
            double intervalLow,
            double intervalHigh) {
        /** Returns whether the confidence interval excludes zero. */
        boolean differs() {
            return intervalLow > 0 || intervalHigh < 0;
        }
    }

    private Comparison() {}

    static List<Row> compare(List<Result> a, List<Result> b) {
        Map<String, double[]> valuesA = valuesByMeasure(a);
        Map<String, double[]> valuesB = valuesByMeasure(b);
        List<Row> rows = new ArrayList<>();
        valuesA.forEach(
                (name, values) -> {
                    if (valuesB.containsKey(name)) {
                        rows.add(compareMeasure(name, values, valuesB.get(name)));
                    }
                });
        return rows;
    }

    private static Map<String, double[]> valuesByMeasure(List<Result> results) {
        Map<String, double[]> all = new LinkedHashMap<>();
        all.put("served share", results.stream().mapToDouble(Result::servedShare).toArray());
        for (String name : results.get(0).counts().keySet()) {
            all.put(name, results.stream().mapToDouble(r -> r.counts().get(name)).toArray());
        }
        for (String name : results.get(0).latencyMs().keySet()) {
            all.put(
                    name + " ms",
                    results.stream().mapToDouble(r -> r.latencyMs().get(name)).toArray());
        }
        for (int i = 0; i < results.get(0).recoveries().size(); i++) {
            int index = i;
            if (results.stream()
                    .allMatch(
                            r ->
                                    r.recoveries().size() > index
                                            && r.recoveries().get(index).ms() != null)) {
                all.put(
                        "recovery ms, " + results.get(0).recoveries().get(i).fault(),
                        results.stream()
                                .mapToDouble(r -> r.recoveries().get(index).ms())
                                .toArray());
            }
        }
        return all;
    }

    static Row compareMeasure(String name, double[] a, double[] b) {
        double meanA = mean(a);
        double meanB = mean(b);
        if (a.length < 2 || b.length < 2) {
            return new Row(name, meanA, meanB, meanB - meanA, Double.NaN, Double.NaN);
        }
        double squaredErrorA = variance(a) / a.length;
        double squaredErrorB = variance(b) / b.length;
        double squaredError = squaredErrorA + squaredErrorB;
        if (squaredError == 0) {
            return new Row(name, meanA, meanB, meanB - meanA, meanB - meanA, meanB - meanA);
        }
        double degreesOfFreedom =
                squaredError
                        * squaredError
                        / (squaredErrorA * squaredErrorA / (a.length - 1)
                                + squaredErrorB * squaredErrorB / (b.length - 1));
        double halfWidth =
                TDistribution.of(degreesOfFreedom)
                                .inverseCumulativeProbability((1 + CONFIDENCE_LEVEL) / 2)
                        * Math.sqrt(squaredError);
        return new Row(
                name,
                meanA,
                meanB,
                meanB - meanA,
                meanB - meanA - halfWidth,
                meanB - meanA + halfWidth);
    }

    private static double mean(double[] values) {
        return Mean.of(values).getAsDouble();
    }

    private static double variance(double[] values) {
        return Variance.of(values).getAsDouble();
    }

    static String formatTable(List<Row> rows) {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "%-40s %12s %12s %12s   %s%n",
                                "",
                                "A",
                                "B",
                                "B - A",
                                "95 % interval"));
        for (Row row : rows) {
            String interval =
                    Double.isNaN(row.intervalLow())
                            ? "(needs repeats)"
                            : String.format(
                                    Locale.ROOT,
                                    "%.4f to %.4f%s",
                                    row.intervalLow(),
                                    row.intervalHigh(),
                                    row.differs() ? "  differs" : "");
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%-40s %12.4f %12.4f %12.4f   %s%n",
                            row.measure(),
                            row.meanA(),
                            row.meanB(),
                            row.difference(),
                            interval));
        }
        return text.toString();
    }
}
