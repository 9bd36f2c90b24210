package passhatch.lab.scale;

/**
 * A measured or extrapolated figure compared with its limit.
 *
 * @param extrapolated whether the figure is extrapolated beyond the measured range
 * @param met whether the figure is within the limit
 * @param part the figure divided by the limit; a figure that equals the limit has 1
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
