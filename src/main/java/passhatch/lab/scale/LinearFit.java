package passhatch.lab.scale;

import java.util.Arrays;

/**
 * A straight line fitted to measured points by least squares.
 *
 * @param intercept the value at x = 0
 * @param slope the growth of the value per unit of x
 * @param residual root mean square distance of the points from the line, in units of y
 * @param from the smallest measured x; below it the line is an extrapolation
 * @param to the largest measured x; above it the line is an extrapolation
 * @param points the number of points
 */
public record LinearFit(
        double intercept, double slope, double residual, double from, double to, int points) {

    /**
     * Fits a line to points.
     *
     * @throws IllegalArgumentException if the arrays differ in length, contain a value that is not
     *     finite, or contain fewer than two different x
     */
    public static LinearFit of(double[] x, double[] y) {
        requireFinite(x);
        requireFinite(y);
        if (x.length != y.length) {
            throw new IllegalArgumentException(
                    "expected as many y as x: " + x.length + " x, " + y.length + " y");
        }
        double from = Arrays.stream(x).min().orElse(0);
        double to = Arrays.stream(x).max().orElse(0);
        if (from == to) {
            throw new IllegalArgumentException("expected at least two different x");
        }
        double meanX = Arrays.stream(x).average().orElseThrow();
        double meanY = Arrays.stream(y).average().orElseThrow();
        double sumXx = 0;
        double sumXy = 0;
        for (int i = 0; i < x.length; i++) {
            sumXx += (x[i] - meanX) * (x[i] - meanX);
            sumXy += (x[i] - meanX) * (y[i] - meanY);
        }
        double slope = sumXy / sumXx;
        double intercept = meanY - slope * meanX;
        double sumOfSquares = 0;
        for (int i = 0; i < x.length; i++) {
            double distance = y[i] - intercept - slope * x[i];
            sumOfSquares += distance * distance;
        }
        return new LinearFit(
                intercept, slope, Math.sqrt(sumOfSquares / x.length), from, to, x.length);
    }

    /** Returns the line's value at x. */
    public double at(double x) {
        return intercept + slope * x;
    }

    /** Returns whether x lies outside the measured range. */
    public boolean extrapolates(double x) {
        return x < from || x > to;
    }

    private static void requireFinite(double[] values) {
        if (!Arrays.stream(values).allMatch(Double::isFinite)) {
            throw new IllegalArgumentException("expected finite values");
        }
    }
}
