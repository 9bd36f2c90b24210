package passhatch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The line through measured points. */
class LinearFitTest {

    private static final double CLOSE = 1e-9;

    @Test
    void pointsOnALineLeaveNoResidual() {
        LinearFit fit = LinearFit.of(new double[] {10, 100, 1_000}, new double[] {25, 205, 2_005});
        assertEquals(5, fit.intercept(), CLOSE);
        assertEquals(2, fit.slope(), CLOSE);
        assertEquals(0, fit.residual(), CLOSE);
        assertEquals(3, fit.points());
        assertEquals(4_005, fit.at(2_000), CLOSE);
        assertTrue(fit.extrapolates(2_000));
        assertFalse(fit.extrapolates(1_000));
    }

    @Test
    void residualIsTheRootMeanSquareDistance() {
        LinearFit fit = LinearFit.of(new double[] {0, 0, 1, 1}, new double[] {-1, 1, 1, 3});
        assertEquals(0, fit.intercept(), CLOSE);
        assertEquals(2, fit.slope(), CLOSE);
        assertEquals(1, fit.residual(), CLOSE);
    }

    @Test
    void refusesWhatHasNoLine() {
        double[] one = {1};
        double[] same = {1, 1};
        double[] open = {1, Double.NaN};
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(one, one));
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(same, open));
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(same, one));
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(same, same));
    }
}
