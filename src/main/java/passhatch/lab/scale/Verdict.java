package passhatch.lab.scale;

/**
 * A figure beside its limit.
 *
 * @param extrapolated whether it lies outside the range that was measured
 * @param part the figure as a part of the limit: 1 is just met
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

    /** One line for people. */
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
