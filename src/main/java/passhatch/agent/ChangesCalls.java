package passhatch.agent;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.distribution.InvalidChangeException;
import passhatch.distribution.Participant;
import passhatch.fleet.DropReason;

/**
 * Answers the calls about the distribution of configuration changes that operators make at the
 * control address.
 */
final class ChangesCalls {

    /**
     * Maximum number of lagging followers that are listed by name. A follower lags while it has not
     * confirmed the current version.
     */
    private static final int MAX_LAGGARDS = 50;

    private static final long ANY_VERSION = -1;

    /** Formats JSON in ASCII, because the control address accepts only ASCII. */
    private static final JSON ASCII_JSON =
            JSON.builder(JsonFactory.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build())
                    .build();

    private final ChangesNode changesNode;

    ChangesCalls(ChangesNode changesNode) {
        this.changesNode = changesNode;
    }

    /** Returns whether a word is the name of a call that this class answers. */
    static boolean isCall(String word) {
        return word.equals("changes") || word.startsWith("change-") || word.equals("changes-found");
    }

    /**
     * Answers a call, which is given as its name followed by its arguments. Returns null if no call
     * has that name.
     */
    String answer(String... words) {
        return switch (words[0]) {
            case "changes" -> describeStatus();
            case "changes-found" -> initialize();
            case "change-get" ->
                    words.length > 2 ? "error change-get [KEY]\n" : describeValues(words);
            case "change-put" ->
                    words.length < 3 || words.length > 4
                            ? "error change-put KEY VALUE [IF-VERSION]\n"
                            : submit(words[1], words[2], words.length == 4 ? words[3] : null);
            case "change-delete" ->
                    words.length < 2 || words.length > 3
                            ? "error change-delete KEY [IF-VERSION]\n"
                            : submit(words[1], null, words.length == 3 ? words[2] : null);
            case "change-status" ->
                    words.length == 3
                            ? describeOutcome(words[1], words[2])
                            : "error change-status VERSION TERM\n";
            default -> null;
        };
    }

    private String initialize() {
        if (changesNode.role() != Role.REPLICA) {
            return "error this process is no replica\n";
        }
        if (changesNode.participant().isInitialized()) {
            return "error this replica counts towards majorities already\n";
        }
        return changesNode.initialize() ? "done\n" : "error the disk fails\n";
    }

    private String submit(String key, String value, String ifVersion) {
        long expected = ifVersion == null ? ANY_VERSION : parseVersionOrTerm(ifVersion);
        if (ifVersion != null && expected < 0) {
            return "error '" + ifVersion + "': expected a version\n";
        }
        if (!changesNode.participant().isLeading() || changesNode.participant().diskFailed()) {
            return "error not the leader\n";
        }
        try {
            long version = changesNode.submit(key, value, expected);
            return "accepted " + version + " " + changesNode.submittedChanges().term() + "\n";
        } catch (InvalidChangeException rejected) {
            if (changesNode.participant().diskFailed()) {
                // The change may have reached the disk and may take effect once this process
                // restarts.
                return "error outcome not known: the disk fails\n";
            }
            return "error refused: " + rejected.getMessage() + "\n";
        }
    }

    private String describeOutcome(String version, String term) {
        return switch (changesNode
                .submittedChanges()
                .outcome(parseVersionOrTerm(version), parseVersionOrTerm(term))) {
            case COMMITTED -> "committed\n";
            case PENDING -> "pending\n";
            case UNKNOWN -> "unknown\n";
        };
    }

    /** Parses a version or a term; returns -1 if the text is neither. */
    private static long parseVersionOrTerm(String text) {
        return text.matches("\\d{1,18}") ? Long.parseLong(text) : -1;
    }

    private String describeValues(String... words) {
        Map<String, Object> values = new LinkedHashMap<>();
        changesNode
                .participant()
                .values()
                .forEach(
                        (key, value) -> {
                            if (words.length == 1 || words[1].equals(key)) {
                                Map<String, Object> entry = new LinkedHashMap<>();
                                entry.put("value", value);
                                entry.put("version", changesNode.participant().versionOf(key));
                                values.put(key, entry);
                            }
                        });
        return values.isEmpty() && words.length > 1
                ? "error '" + words[1] + "' is not set here\n"
                : toJson(values);
    }

    private String describeStatus() {
        Participant participant = changesNode.participant();
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("role", ChangesConfig.label(changesNode.role()));
        root.put("epoch", participant.epoch());
        root.put("version", participant.version());
        root.put("age_ms", stateAgeMs());
        root.put("founded", participant.isInitialized());
        root.put("leading", participant.isLeading());
        root.put("term", changesNode.submittedChanges().term());
        root.put("source", participant.source());
        root.put("disk_failed", participant.diskFailed());
        root.put("followers", describeFollowers());
        Map<String, Object> dropped = new LinkedHashMap<>();
        changesNode.dropped().forEach((reason, count) -> dropped.put(reason.label(), count));
        root.put("dropped", dropped);
        return toJson(root);
    }

    private Map<String, Object> describeFollowers() {
        Map<String, Long> confirmed = changesNode.participant().confirmedVersions();
        Map<String, Long> countByVersion = new TreeMap<>();
        List<String> laggards = new ArrayList<>();
        confirmed.forEach(
                (name, version) -> {
                    countByVersion.merge(Long.toString(version), 1L, Long::sum);
                    if (version < changesNode.participant().version()
                            && laggards.size() < MAX_LAGGARDS) {
                        laggards.add(name);
                    }
                });
        Map<String, Object> followers = new LinkedHashMap<>();
        followers.put("count", confirmed.size());
        followers.put("confirmed", countByVersion);
        followers.put("laggards", laggards);
        return followers;
    }

    /**
     * Returns how many milliseconds ago the state of this process was last known to be current, or
     * -1 if it was never known to be current since the process started.
     */
    private long stateAgeMs() {
        long ageMs = changesNode.participant().stateAgeUs(FleetNode.nowUs()) / 1_000;
        return ageMs < Long.MAX_VALUE / 8_000 ? ageMs : -1;
    }

    /** Returns the metrics for the operators' call {@code vars}, one per line. */
    String metrics() {
        Participant participant = changesNode.participant();
        StringBuilder text = new StringBuilder();
        appendLine(text, "version", participant.version());
        appendLine(text, "epoch", participant.epoch());
        appendLine(text, "age_ms", stateAgeMs());
        appendLine(text, "followers", participant.confirmedVersions().size());
        Arrays.stream(DropReason.values())
                .forEach(
                        reason ->
                                appendLine(
                                        text,
                                        "dropped{reason=\"" + reason.label() + "\"}",
                                        changesNode.dropped().getOrDefault(reason, 0L)));
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append("changes_").append(name).append(' ').append(value).append('\n');
    }

    private static String toJson(Map<String, Object> content) {
        try {
            return ASCII_JSON.asString(content) + "\n";
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
