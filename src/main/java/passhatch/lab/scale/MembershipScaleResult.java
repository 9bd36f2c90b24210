package passhatch.lab.scale;

import java.util.List;

/**
 * What {@code scale membership} measured.
 *
 * @param fits a line through the sizes for each figure that was measured at two sizes or more
 */
record MembershipScaleResult(
        long seed,
        long bytesPerSecond,
        double loss,
        int simulatedSeconds,
        List<Size> sizes,
        List<Fit> fits) {

    /** The scenarios that finished at one size; the others have no figures. */
    record Size(int members, List<Outcome> outcomes) {}

    /**
     * How one scenario went at one size.
     *
     * @param problem why it has no figures, or null
     */
    record Outcome(
            MembershipScenario scenario,
            List<Figure> figures,
            double wallSeconds,
            String problem) {}

    /** One measured value. */
    record Figure(String name, String unit, double value) {}

    /**
     * A figure against the number of members.
     *
     * @param atTarget the line's value at the target size
     * @param extrapolated whether the target size lies outside the measured ones
     */
    record Fit(
            String figure,
            String unit,
            LinearFit line,
            int target,
            double atTarget,
            boolean extrapolated) {}
}
