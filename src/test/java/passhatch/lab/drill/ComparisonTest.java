package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.junit.jupiter.api.Test;
import passhatch.lab.Seeds;

class ComparisonTest {

    /**
     * About 95 % of the intervals contain the true difference, though the variances are not equal.
     */
    @Test
    void theIntervalCoversTheTrueDifferenceAtItsConfidenceLevel() {
        UniformRandomProvider random = new Seeds(5).stream("comparison");
        var normal = ZigguratSampler.NormalizedGaussian.of(random);
        int covered = 0;
        int trials = 2_000;
        for (int i = 0; i < trials; i++) {
            double[] a = new double[5];
            double[] b = new double[8];
            java.util.Arrays.setAll(a, n -> 10 + normal.sample());
            java.util.Arrays.setAll(b, n -> 12 + 3 * normal.sample());
            Comparison.Row row = Comparison.compareMeasure("x", a, b);
            covered += row.intervalLow() <= 2 && row.intervalHigh() >= 2 ? 1 : 0;
        }
        assertEquals(0.95, (double) covered / trials, 0.02);
    }

    @Test
    void thereIsNoIntervalWithoutRepeats() {
        assertTrue(
                Double.isNaN(
                        Comparison.compareMeasure("x", new double[] {1}, new double[] {2, 3})
                                .intervalLow()));
        assertFalse(Comparison.compareMeasure("x", new double[] {1}, new double[] {2}).differs());
    }
}
