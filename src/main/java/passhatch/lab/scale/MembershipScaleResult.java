package passhatch.lab.scale;

import java.util.List;

/**
 * The result of {@code scale membership}.
 *
 * @param fits the fitted straight lines that show how each measured quantity depends on the fleet
 *     size; a quantity has a line only if it was measured at two fleet sizes or more
 */
record MembershipScaleResult(
        long seed,
        long bytesPerSecond,
        double loss,
        int simulatedSeconds,
        List<Size> sizes,
        List<Fit> fits) {

    /**
     * The outcomes of the scenarios at one fleet size. The outcome of a scenario that did not
     * finish has no figures.
     */
    record Size(int members, List<Outcome> outcomes) {}

    /**
     * The outcome of one scenario at one fleet size.
     *
     * @param problem the reason why the scenario did not finish and has no figures; null if it
     *     finished
     */
    record Outcome(
            MembershipScenario scenario,
            List<Figure> figures,
            double wallSeconds,
            String problem) {}

    /** One measured value. */
    record Figure(String name, String unit, double value) {}

    /**
     * The line fitted to a figure as a function of the number of members.
     *
     * @param atTarget the line's value at the target size
     * @param extrapolated whether the target size lies outside the range of measured sizes
     */
    record Fit(
            String figure,
            String unit,
            LinearFit line,
            int target,
            double atTarget,
            boolean extrapolated) {}
}
