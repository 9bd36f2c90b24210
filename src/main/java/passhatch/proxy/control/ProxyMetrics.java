package passhatch.proxy.control;

import java.util.List;

/**
 * Counters of this process since its start. They are used only on the event loop, so they need no
 * synchronization.
 */
public final class ProxyMetrics {

    /** The result of an accepted request. */
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

    private final List<String> classNames;
    private final long[][] requestCounts;
    private long backendRequestCount;

    /** Creates counters at 0 for the request classes with these names. */
    public ProxyMetrics(List<String> classNames) {
        this.classNames = classNames;
        this.requestCounts = new long[RequestResult.values().length][classNames.size()];
    }

    public void countRequest(int requestClass, RequestResult result) {
        requestCounts[result.ordinal()][requestClass]++;
    }

    /** Counts an attempt that was written completely to a backend. */
    public void countBackendRequest() {
        backendRequestCount++;
    }

    /** Returns the counters and the given current values, one per line. */
    public String text(int inFlight, int hostsListed, int hostsDown) {
        StringBuilder text = new StringBuilder();
        for (RequestResult result : RequestResult.values()) {
            for (int requestClass = 0; requestClass < classNames.size(); requestClass++) {
                appendLine(
                        text,
                        result.metric + "{tier=\"" + escape(classNames.get(requestClass)) + "\"}",
                        requestCounts[result.ordinal()][requestClass]);
            }
        }
        appendLine(text, "backend_calls", backendRequestCount);
        appendLine(text, "inflight", inFlight);
        appendLine(text, "hosts_listed", hostsListed);
        appendLine(text, "hosts_down", hostsDown);
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    /** Escapes the value of a label as the Prometheus text format requires. */
    private static String escape(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
