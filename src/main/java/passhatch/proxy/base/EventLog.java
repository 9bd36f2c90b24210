package passhatch.proxy.base;

import java.io.PrintStream;
import java.time.Instant;

/**
 * The log of the proxy: one line per abnormal event, and with {@code -Dpasshatch.trace=true} one
 * line per step of each request.
 */
public final class EventLog {

    private final PrintStream out;
    private final boolean tracing = Boolean.getBoolean("passhatch.trace");

    public EventLog(PrintStream out) {
        this.out = out;
    }

    public void write(String text) {
        // The text and its line end are printed in one call, as the stream would otherwise pass
        // them to the operating system as two writes.
        out.print(Instant.now() + " " + text + "\n");
    }

    /**
     * Logs one step of a request: its acceptance, its attempts, its end, the last byte of its
     * response.
     */
    public void trace(String step, String id, Object detail) {
        if (tracing) {
            write("trace " + step + " " + id + " " + detail);
        }
    }

    /** Logs a programming error with its stack trace. */
    public void bug(String text, Throwable cause) {
        out.println(Instant.now() + " BUG " + text);
        cause.printStackTrace(out);
    }
}
