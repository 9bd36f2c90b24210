package passhatch.distribution;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Computes how many entries fit into one datagram. It assumes the maximum size of all other fields
 * of the message.
 */
final class DatagramBudget {

    /**
     * Maximum total size of the entries in a message, in bytes. The value applies to messages that
     * contain no key outside their entries.
     */
    static final int MAX_ENTRIES_BYTES = 182;

    /**
     * Size of an entry without its key and value: the array header, two numbers and two text
     * lengths.
     */
    private static final int ENTRY_OVERHEAD_BYTES = 23;

    private DatagramBudget() {}

    static int sizeOf(LogEntry entry) {
        int value =
                entry.value() == null ? 1 : entry.value().getBytes(StandardCharsets.UTF_8).length;
        return ENTRY_OVERHEAD_BYTES + entry.key().length() + value;
    }

    /** Returns the longest prefix of the entries that fits into one datagram. */
    static List<LogEntry> fittingPrefix(Iterable<LogEntry> entries) {
        return fittingPrefix(entries, MAX_ENTRIES_BYTES);
    }

    static List<LogEntry> fittingPrefix(Iterable<LogEntry> entries, int maxBytes) {
        List<LogEntry> fitting = new ArrayList<>();
        int remaining = maxBytes;
        for (LogEntry entry : entries) {
            remaining -= sizeOf(entry);
            if (remaining < 0) {
                break;
            }
            fitting.add(entry);
        }
        return fitting;
    }
}
