package passhatch.lab.drain;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All versions of discovery's list, and the messages in which discovery sends them. */
final class ListHistory {

    private static final String SERVING = "SERVING";
    private static final String DRAINING = "DRAINING";

    /** The status of each server by version; version 0 is the empty list. */
    private final List<Map<String, String>> statusesByVersion = new ArrayList<>(List.of(Map.of()));

    /** Returns the newest version. */
    long version() {
        return statusesByVersion.size() - 1L;
    }

    /** Sets the status of a server in a new version of the list, and returns that version. */
    long change(String server, String status) {
        Map<String, String> statuses = new LinkedHashMap<>(statusesAt(version()));
        statuses.put(server, status);
        statusesByVersion.add(statuses);
        return version();
    }

    /** Returns whether a server is up in the newest version. */
    boolean isUp(String server) {
        return SERVING.equals(statusesAt(version()).get(server));
    }

    /** Returns a message with a whole version of the list. */
    String listMessage(long version, boolean omitDraining) {
        List<String> entries = new ArrayList<>();
        statusesAt(version)
                .forEach(
                        (server, status) -> {
                            if (status.equals(SERVING)
                                    || status.equals(DRAINING) && !omitDraining) {
                                entries.add(formatEntry(server, status));
                            }
                        });
        return formatMessage(version, true, entries);
    }

    /**
     * Returns a message with the changes after one version of the list, up to and including another
     * version.
     */
    String changesMessage(long after, long upTo) {
        List<String> entries = new ArrayList<>();
        Map<String, String> before = statusesAt(after);
        statusesAt(upTo)
                .forEach(
                        (server, status) -> {
                            if (!status.equals(before.get(server))) {
                                entries.add(formatEntry(server, status));
                            }
                        });
        return formatMessage(upTo, false, entries);
    }

    private Map<String, String> statusesAt(long version) {
        return statusesByVersion.get((int) version);
    }

    private static String formatMessage(long index, boolean whole, List<String> entries) {
        return "{\"index\":"
                + index
                + ",\"snapshot\":"
                + whole
                + ",\"endpoints\":["
                + String.join(",", entries)
                + "]}";
    }

    private static String formatEntry(String server, String status) {
        return "{\"name\":\""
                + server
                + "\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,\"status\":\""
                + status
                + "\",\"weight\":1.0,\"since_ms\":0}";
    }
}
