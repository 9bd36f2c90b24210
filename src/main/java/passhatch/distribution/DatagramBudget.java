package passhatch.distribution;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** How many entries one datagram holds beside its other fields, whatever their values are. */
final class DatagramBudget {

    /** Room for the entries of a message that names no key beside them. */
    static final int ENTRY_BYTES = 182;

    /** Bytes of an entry beside its key and value: array, two numbers, two lengths. */
    private static final int OVERHEAD_BYTES = 23;

    private DatagramBudget() {}

    static int sizeOf(LogEntry entry) {
        int value =
                entry.value() == null ? 1 : entry.value().getBytes(StandardCharsets.UTF_8).length;
        return OVERHEAD_BYTES + entry.key().length() + value;
    }

    /** The first entries, as many as fit. */
    static List<LogEntry> fitting(Iterable<LogEntry> entries) {
        return fitting(entries, ENTRY_BYTES);
    }

    static List<LogEntry> fitting(Iterable<LogEntry> entries, int bytes) {
        List<LogEntry> fitting = new ArrayList<>();
        int left = bytes;
        for (LogEntry entry : entries) {
            left -= sizeOf(entry);
            if (left < 0) {
                break;
            }
            fitting.add(entry);
        }
        return fitting;
    }
}
