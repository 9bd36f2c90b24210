package passhatch.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import passhatch.lab.Seeds;

class DiskRecordCodecTest {

    private static final int RECORDS = 20_000;
    private final UniformRandomProvider random = new Seeds(3).stream("records");

    private long number() {
        return random.nextLong(Long.MAX_VALUE) >>> random.nextInt(63);
    }

    private LogEntry entry() {
        String key = random.nextInt(8) == 0 ? "" : "service/s" + random.nextInt(1_000) + "/enabled";
        String value =
                key.isEmpty() || random.nextInt(4) == 0 ? null : "ü".repeat(random.nextInt(48));
        return new LogEntry(number(), number(), key, value);
    }

    private List<LogEntry> entries() {
        return IntStream.range(0, random.nextInt(6)).mapToObj(i -> entry()).toList();
    }

    private DiskRecord record() {
        return switch (random.nextInt(7)) {
            case 0 -> new DiskRecord.Promised(number(), number());
            case 1 -> new DiskRecord.Initialized(number());
            case 2 -> new DiskRecord.Appended(number(), entry());
            case 3 -> new DiskRecord.Committed(number(), number());
            case 4 -> new DiskRecord.Applied(number(), number(), number(), entries());
            case 5 -> new DiskRecord.Reset(number(), number(), number(), number());
            default -> new DiskRecord.Content(entries());
        };
    }

    @Test
    void everyRecordDecodesToItself() throws IOException {
        for (int i = 0; i < RECORDS; i++) {
            DiskRecord record = record();
            byte[] bytes = DiskRecordCodec.encode(record);
            assertEquals(record, DiskRecordCodec.decode(bytes));
            byte[] cut = Arrays.copyOf(bytes, random.nextInt(bytes.length));
            assertThrows(IOException.class, () -> DiskRecordCodec.decode(cut));
        }
    }

    /** The second byte is the format version. */
    @Test
    void newerFormatIsRejected() {
        byte[] bytes = DiskRecordCodec.encode(new DiskRecord.Initialized(1));
        bytes[1]++;
        IOException refused = assertThrows(IOException.class, () -> DiskRecordCodec.decode(bytes));
        assertEquals("a record of format 2, of a newer program", refused.getMessage());
    }
}
