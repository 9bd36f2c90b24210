package passhatch.lab.scale;

import java.util.List;

/**
 * The result of {@code scale membership}.
 *
 * @param fits a line over the sizes for each figure that was measured at two sizes or more
 */
record MembershipScaleResult(
        long seed,
        long bytesPerSecond,
        double loss,
        int simulatedSeconds,
        List<Size> sizes,
        List<Fit> fits) {

    /** The outcomes of the scenarios at one size; those that did not finish have no figures. */
    record Size(int members, List<Outcome> outcomes) {}

    /**
     * The outcome of one scenario at one size.
     *
     * @param problem why there are no figures, or null
     */
    record Outcome(
            MembershipScenario scenario,
            List<Figure> figures,
            double wallSeconds,
            String problem) {}

    /** One measured value. */
    record Figure(String name, String unit, double value) {}

    /**
     * A line for a figure over the number of members.
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
