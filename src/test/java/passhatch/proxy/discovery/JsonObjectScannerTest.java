package passhatch.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Objects are found in any layout, in any fragments, and after malformed input. */
final class JsonObjectScannerTest implements JsonObjectScanner.Listener {

    private static final int MAX_OBJECT_BYTES = 400;

    private final List<String> events = new ArrayList<>();
    private JsonObjectScanner scanner = new JsonObjectScanner(MAX_OBJECT_BYTES, this);

    @Override
    public void onObject(String text) {
        events.add(text);
    }

    @Override
    public void onEmptyLine() {
        events.add("empty");
    }

    @Override
    public void onSkipped(String why) {
        events.add("skipped");
    }

    private List<String> read(String text) {
        events.clear();
        scanner.read(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        return List.copyOf(events);
    }

    /**
     * Compact or indented, in fragments of any size, with strings that contain brackets and quotes.
     */
    @Test
    void findsEachObjectInAnyLayoutAndFragmentation() throws Exception {
        Random random = new Random(11);
        for (int round = 0; round < 300; round++) {
            scanner = new JsonObjectScanner(MAX_OBJECT_BYTES, this);
            events.clear();
            List<Map<String, Object>> sent = new ArrayList<>();
            StringBuilder wire = new StringBuilder();
            for (int i = random.nextInt(4); i >= 0; i--) {
                Map<String, Object> object =
                        Map.of(
                                "index",
                                random.nextInt(),
                                "a{}\\\"[]",
                                List.of(
                                        Map.of("name", "}]{[\\\"\n".repeat(random.nextInt(3))),
                                        Map.of()));
                sent.add(object);
                JSON json =
                        random.nextBoolean()
                                ? JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT)
                                : JSON.std;
                wire.append(json.asString(object)).append(random.nextBoolean() ? "\r\n" : "\n");
            }
            byte[] bytes = wire.toString().getBytes(StandardCharsets.UTF_8);
            for (int at = 0; at < bytes.length; ) {
                int piece =
                        Math.min(
                                bytes.length - at,
                                1 + random.nextInt(random.nextBoolean() ? 3 : 200));
                scanner.read(Unpooled.wrappedBuffer(bytes, at, piece));
                at += piece;
            }
            assertFalse(scanner.hasIncompleteObject());
            List<Map<String, Object>> found = new ArrayList<>();
            for (String text : events) {
                found.add(JSON.std.mapFrom(text));
            }
            assertEquals(sent, found, wire.toString());
        }
    }

    @Test
    void reportsEmptyLinesOnlyBetweenObjects() {
        assertEquals(List.of("empty", "empty"), read("\n \r\n"));
        assertEquals(List.of("{\n\n}"), read("{\n\n}\n"));
        assertEquals(List.of("empty"), read("\n"));
    }

    @Test
    void continuesAfterMalformedInputAndTruncatedStrings() {
        assertEquals(List.of("skipped", "{}"), read("not json {\n{}\n"));
        assertEquals(List.of("skipped", "{}"), read("{\"name\":\"a\n{}"));
        assertEquals(List.of("empty"), read("\n\n"), "one line end belongs to the skipped line");
    }

    @Test
    void skipsObjectsThatAreTooLongWithoutBufferingThem() {
        assertEquals(
                List.of("skipped", "{}"),
                read("{\"a\":\"" + "x".repeat(3 * MAX_OBJECT_BYTES) + "\"}\n{}\n"));
        assertEquals(List.of("skipped", "{}"), read("[".repeat(3 * MAX_OBJECT_BYTES) + "\n{}\n"));
    }

    @Test
    void reportsAnIncompleteObject() {
        read("{\"index\":4,");
        assertTrue(scanner.hasIncompleteObject());
    }
}
