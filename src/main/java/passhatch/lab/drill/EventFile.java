package passhatch.lab.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A file of the events of a drill. Each event is one line of JSON, which includes the time since
 * the start of the load.
 */
final class EventFile implements Closeable {

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * An event of a drill.
     *
     * @param atMs time since the start of the load in milliseconds; negative for an event before
     *     the start
     */
    record Event(long atMs, String type, Map<String, Object> details) {}

    private final BufferedWriter out;
    private final List<Event> events = new ArrayList<>();
    private long loadStartNs = System.nanoTime();

    EventFile(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    /** Sets the time at which the load starts, as a value of {@link System#nanoTime}. */
    synchronized void setLoadStart(long startNs) {
        loadStartNs = startNs;
    }

    /**
     * Adds an event and writes it to the file.
     *
     * @param keysAndValues details of the event, as alternating keys and values
     */
    synchronized void add(String type, Object... keysAndValues) {
        long atMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - loadStartNs);
        Map<String, Object> details = new LinkedHashMap<>();
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            details.put((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        events.add(new Event(atMs, type, details));
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("time", Instant.now().toString());
        line.put("at_ms", atMs);
        line.put("event", type);
        line.putAll(details);
        try {
            out.write(JSON.writeValueAsString(line));
            out.newLine();
            out.flush();
        } catch (IOException failed) {
            throw new java.io.UncheckedIOException("the event file cannot be written", failed);
        }
    }

    synchronized List<Event> events() {
        return List.copyOf(events);
    }

    @Override
    public synchronized void close() throws IOException {
        out.close();
    }
}
