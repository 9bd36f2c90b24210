package passhatch.proxy.base;

import java.io.PrintStream;
import java.time.Instant;

/**
 * The proxy's log: one line per abnormal event, and with {@code -Dpasshatch.trace=true} one per
 * step of each request.
 */
public final class EventLog {

    private final PrintStream out;
    private final boolean tracing = Boolean.getBoolean("passhatch.trace");

    public EventLog(PrintStream out) {
        this.out = out;
    }

    public void line(String text) {
        // With its end in one piece: else the stream hands it to the system in two.
        out.print(Instant.now() + " " + text + "\n");
    }

    /** One step of a request: its take, its attempts, its end, the last byte of its answer. */
    public void trace(String step, String id, Object detail) {
        if (tracing) {
            line("trace " + step + " " + id + " " + detail);
        }
    }

    /** An error in this program, with its trace: it is to be mended, not to be lived with. */
    public void bug(String text, Throwable cause) {
        out.println(Instant.now() + " BUG " + text);
        cause.printStackTrace(out);
    }
}
