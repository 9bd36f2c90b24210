package passhatch.proxy.base;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;

/**
 * The log of the proxy: one line per abnormal event, and with {@code -Dpasshatch.trace=true} one
 * line per step of each request.
 */
public final class EventLog {

    /** Maximum length of a line: clients choose parts of what is logged. */
    private static final int MAX_LINE_LENGTH = 1_000;

    private static final long FLUSH_TIMEOUT_MS = 200;

    private final PrintStream out;

    /** Prints the lines; null if they are printed by who writes them. */
    private final LogWriter writer;

    private final boolean tracing = Boolean.getBoolean("passhatch.trace");

    /** Creates a log whose lines are printed at once, however long that takes. */
    public EventLog(PrintStream out) {
        this(out, null);
    }

    private EventLog(PrintStream out, LogWriter writer) {
        this.out = out;
        this.writer = writer;
    }

    /** Returns a log that never blocks: lines are dropped if the stream's reader is too slow. */
    public static EventLog nonBlocking(PrintStream out) {
        return new EventLog(out, new LogWriter(out));
    }

    /** Writes a line with the present time. */
    public void write(String text) {
        String bounded =
                text.length() > MAX_LINE_LENGTH ? text.substring(0, MAX_LINE_LENGTH) : text;
        // The text and its line end are printed in one call, as the stream would otherwise pass
        // them to the operating system as two writes.
        print(Instant.now() + " " + bounded + "\n");
    }

    private void print(String text) {
        if (writer == null) {
            out.print(text);
        } else {
            writer.print(text);
        }
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
        StringWriter trace = new StringWriter();
        cause.printStackTrace(new PrintWriter(trace));
        print(Instant.now() + " BUG " + text + "\n" + trace);
    }

    /** Waits for a bounded time until all lines are printed; called before the process ends. */
    public void flush() {
        if (writer != null) {
            writer.flush(FLUSH_TIMEOUT_MS);
        }
    }
}
