package passhatch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the line fitted to measured points. */
class LinearFitTest {

    private static final double TOLERANCE = 1e-9;

    @Test
    void pointsOnALineLeaveNoResidual() {
        LinearFit fit = LinearFit.of(new double[] {10, 100, 1_000}, new double[] {25, 205, 2_005});
        assertEquals(5, fit.intercept(), TOLERANCE);
        assertEquals(2, fit.slope(), TOLERANCE);
        assertEquals(0, fit.residual(), TOLERANCE);
        assertEquals(3, fit.points());
        assertEquals(4_005, fit.at(2_000), TOLERANCE);
        assertTrue(fit.extrapolates(2_000));
        assertFalse(fit.extrapolates(1_000));
    }

    @Test
    void residualIsTheRootMeanSquareDistance() {
        LinearFit fit = LinearFit.of(new double[] {0, 0, 1, 1}, new double[] {-1, 1, 1, 3});
        assertEquals(0, fit.intercept(), TOLERANCE);
        assertEquals(2, fit.slope(), TOLERANCE);
        assertEquals(1, fit.residual(), TOLERANCE);
    }

    @Test
    void rejectsPointsThatDetermineNoLine() {
        double[] single = {1};
        double[] equal = {1, 1};
        double[] notFinite = {1, Double.NaN};
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(single, single));
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(equal, notFinite));
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(equal, single));
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(equal, equal));
    }
}
