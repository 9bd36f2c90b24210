package passhatch.proxy.control;

import java.util.List;

/**
 * What this process has done since its start. All of it runs on the event loop, so plain fields do.
 */
public final class ProxyMetrics {

    /** How a request that was taken has ended. */
    public enum RequestResult {
        SERVED("success"),
        REFUSED("busy"),
        FAILED("failure");

        private final String metric;

        RequestResult(String metric) {
            this.metric = metric;
        }
    }

    private static final String PREFIX = "app_";

    private final List<String> classes;
    private final long[][] completed;
    private long backendRequests;

    /** All counts at 0, for the classes of these names. */
    public ProxyMetrics(List<String> classes) {
        this.classes = classes;
        this.completed = new long[RequestResult.values().length][classes.size()];
    }

    public void countRequest(int requestClass, RequestResult result) {
        completed[result.ordinal()][requestClass]++;
    }

    /** An attempt was written whole to a backend. */
    public void countBackendRequest() {
        backendRequests++;
    }

    /** The counts, and what else holds now, a line each. */
    public String text(int inFlight, int hostsListed, int hostsDown) {
        StringBuilder text = new StringBuilder();
        for (RequestResult result : RequestResult.values()) {
            for (int requestClass = 0; requestClass < classes.size(); requestClass++) {
                appendLine(
                        text,
                        result.metric + "{tier=\"" + escaped(classes.get(requestClass)) + "\"}",
                        completed[result.ordinal()][requestClass]);
            }
        }
        appendLine(text, "backend_calls", backendRequests);
        appendLine(text, "inflight", inFlight);
        appendLine(text, "hosts_listed", hostsListed);
        appendLine(text, "hosts_down", hostsDown);
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    /** As the text form of Prometheus wants the value of a label. */
    private static String escaped(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
