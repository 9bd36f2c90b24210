package passhatch.proxy.control;

import java.util.List;

/**
 * What this process has done since its start. All of it runs on the event loop, so plain fields do.
 */
public final class Figures {

    /** How a request that was taken has ended. */
    public enum Ending {
        SERVED("success"),
        REFUSED("busy"),
        FAILED("failure");

        private final String figure;

        Ending(String figure) {
            this.figure = figure;
        }
    }

    private static final String PREFIX = "app_";

    private final List<String> classes;
    private final long[][] ended;
    private long backendCalls;

    /** All counts at 0, for the classes of these names. */
    public Figures(List<String> classes) {
        this.classes = classes;
        this.ended = new long[Ending.values().length][classes.size()];
    }

    public void ended(int requestClass, Ending how) {
        ended[how.ordinal()][requestClass]++;
    }

    /** An attempt was written whole to a backend. */
    public void backendCall() {
        backendCalls++;
    }

    /** The counts, and what else holds now, a line each. */
    public String text(int inFlight, int hostsListed, int hostsDown) {
        StringBuilder text = new StringBuilder();
        for (Ending how : Ending.values()) {
            for (int c = 0; c < classes.size(); c++) {
                line(
                        text,
                        how.figure + "{tier=\"" + escaped(classes.get(c)) + "\"}",
                        ended[how.ordinal()][c]);
            }
        }
        line(text, "backend_calls", backendCalls);
        line(text, "inflight", inFlight);
        line(text, "hosts_listed", hostsListed);
        line(text, "hosts_down", hostsDown);
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    /** As the text form of Prometheus wants the value of a label. */
    private static String escaped(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
