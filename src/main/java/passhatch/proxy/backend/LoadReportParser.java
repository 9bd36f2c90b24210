package passhatch.proxy.backend;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import passhatch.Balancer.LoadReport;

/** Parses a backend's load reports, such as {@code TEXT inflight=7, queue=2, util=0.61}. */
public final class LoadReportParser {

    private static final Pattern FIELD = Pattern.compile("([a-z_0-9]+)=([0-9.eE+-]+)");

    private LoadReportParser() {}

    /**
     * Returns the load report in a text; a value that the text does not contain is -1. Returns null
     * if the text is null, contains no field of the form {@code name=number}, or contains a
     * malformed number.
     */
    public static LoadReport parse(String text) {
        if (text == null) {
            return null;
        }
        double inFlight = -1;
        double queue = -1;
        double utilisation = -1;
        Matcher fields = FIELD.matcher(text);
        boolean found = false;
        while (fields.find()) {
            double value;
            try {
                value = Double.parseDouble(fields.group(2));
            } catch (NumberFormatException malformed) {
                return null;
            }
            found = true;
            switch (fields.group(1)) {
                case "inflight" -> inFlight = value;
                case "queue" -> queue = value;
                case "util" -> utilisation = value;
                default -> {}
            }
        }
        return found ? new LoadReport(inFlight, queue, utilisation) : null;
    }
}
