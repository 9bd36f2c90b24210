import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line per event, with the milliseconds since the start of the run. */
final class Rec implements AutoCloseable {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Rec(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double nowMs() {
        return ms(System.nanoTime());
    }

    /** Converts a time of System.nanoTime() to milliseconds since the start of the run. */
    double ms(long ns) {
        return (ns - startNs) / 1e6;
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%10.1f %s%n", nowMs(), text);
    }

    /** Writes a line to the record and to standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
