package passhatch.lab.scale;

/**
 * The comparison of a measured or extrapolated figure with its limit.
 *
 * @param extrapolated whether the figure is extrapolated beyond the measured range
 * @param met whether the figure is within the limit
 * @param part the figure divided by the limit; 1 if the figure equals the limit
 */
record Verdict(
        String quantity,
        String unit,
        double value,
        double limit,
        boolean extrapolated,
        boolean met,
        double part) {

    static Verdict of(
            String quantity, String unit, double value, double limit, boolean extrapolated) {
        return new Verdict(
                quantity, unit, value, limit, extrapolated, value <= limit, value / limit);
    }

    /** Returns the comparison as one line of text. */
    String text() {
        return String.format(
                java.util.Locale.ROOT,
                "%-52s %12.3f %s, limit %.3f: %s, %.2f of it (%s)",
                quantity,
                value,
                unit,
                limit,
                met ? "met" : "MISSED",
                part,
                extrapolated ? "extrapolated" : "measured");
    }
}
