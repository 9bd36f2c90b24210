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
import passhatch.fleet.Drop;

/** What operators can ask of the distribution of changes at the control address. */
final class ChangesCalls {

    /** Followers that are named as they lag behind, at most. */
    private static final int MAX_LAGGARDS = 50;

    private static final long ANY_VERSION = -1;

    /** The control address speaks ASCII. */
    private static final JSON ASCII =
            JSON.builder(JsonFactory.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build())
                    .build();

    private final ChangesNode node;

    ChangesCalls(ChangesNode node) {
        this.node = node;
    }

    /** Whether a word is one of these calls. */
    static boolean isCall(String word) {
        return word.equals("changes") || word.startsWith("change-") || word.equals("changes-found");
    }

    /** Answers a call, given in words. */
    String answer(String... words) {
        return switch (words[0]) {
            case "changes" -> status();
            case "changes-found" -> found();
            case "change-get" -> words.length > 2 ? "error change-get [KEY]\n" : get(words);
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
                            ? outcome(words[1], words[2])
                            : "error change-status VERSION TERM\n";
            default -> null;
        };
    }

    private String found() {
        if (node.role() != Role.REPLICA) {
            return "error this process is no replica\n";
        }
        if (node.participant().founded()) {
            return "error this replica counts towards majorities already\n";
        }
        return node.found() ? "done\n" : "error the disk fails\n";
    }

    private String submit(String key, String value, String ifVersion) {
        long expected = ifVersion == null ? ANY_VERSION : number(ifVersion);
        if (ifVersion != null && expected < 0) {
            return "error '" + ifVersion + "': expected a version\n";
        }
        if (!node.participant().isLeading() || node.participant().diskFailed()) {
            return "error not the leader\n";
        }
        try {
            long version = node.submit(key, value, expected);
            return "accepted " + version + " " + node.submitted().term() + "\n";
        } catch (InvalidChangeException refused) {
            if (node.participant().diskFailed()) {
                // It may be on the disk all the same, and show once this process starts again.
                return "error outcome not known: the disk fails\n";
            }
            return "error refused: " + refused.getMessage() + "\n";
        }
    }

    private String outcome(String version, String term) {
        return switch (node.submitted().outcome(number(version), number(term))) {
            case COMMITTED -> "committed\n";
            case PENDING -> "pending\n";
            case UNKNOWN -> "unknown\n";
        };
    }

    /** A version or term; negative where it is none. */
    private static long number(String text) {
        return text.matches("\\d{1,18}") ? Long.parseLong(text) : -1;
    }

    private String get(String... words) {
        Map<String, Object> values = new LinkedHashMap<>();
        node.participant()
                .values()
                .forEach(
                        (key, value) -> {
                            if (words.length == 1 || words[1].equals(key)) {
                                Map<String, Object> one = new LinkedHashMap<>();
                                one.put("value", value);
                                one.put("version", node.participant().versionOf(key));
                                values.put(key, one);
                            }
                        });
        return values.isEmpty() && words.length > 1
                ? "error '" + words[1] + "' is not set here\n"
                : json(values);
    }

    private String status() {
        Participant participant = node.participant();
        Map<String, Object> whole = new LinkedHashMap<>();
        whole.put("role", ChangesConfig.label(node.role()));
        whole.put("epoch", participant.epoch());
        whole.put("version", participant.version());
        whole.put("age_ms", ageMs());
        whole.put("founded", participant.founded());
        whole.put("leading", participant.isLeading());
        whole.put("term", node.submitted().term());
        whole.put("source", participant.source());
        whole.put("disk_failed", participant.diskFailed());
        whole.put("followers", followers());
        Map<String, Object> dropped = new LinkedHashMap<>();
        node.dropped().forEach((reason, count) -> dropped.put(reason.label(), count));
        whole.put("dropped", dropped);
        return json(whole);
    }

    private Map<String, Object> followers() {
        Map<String, Long> confirmed = node.participant().confirmedVersions();
        Map<String, Long> countByVersion = new TreeMap<>();
        List<String> laggards = new ArrayList<>();
        confirmed.forEach(
                (name, version) -> {
                    countByVersion.merge(Long.toString(version), 1L, Long::sum);
                    if (version < node.participant().version() && laggards.size() < MAX_LAGGARDS) {
                        laggards.add(name);
                    }
                });
        Map<String, Object> followers = new LinkedHashMap<>();
        followers.put("count", confirmed.size());
        followers.put("confirmed", countByVersion);
        followers.put("laggards", laggards);
        return followers;
    }

    /** How long ago the state was known to be current; -1 where it never was since the start. */
    private long ageMs() {
        long ageMs = node.participant().ageUs(FleetNode.nowUs()) / 1_000;
        return ageMs < Long.MAX_VALUE / 8_000 ? ageMs : -1;
    }

    /** The figures in {@code vars}, a line each. */
    String figures() {
        Participant participant = node.participant();
        StringBuilder text = new StringBuilder();
        line(text, "version", participant.version());
        line(text, "epoch", participant.epoch());
        line(text, "age_ms", ageMs());
        line(text, "followers", participant.confirmedVersions().size());
        Arrays.stream(Drop.values())
                .forEach(
                        reason ->
                                line(
                                        text,
                                        "dropped{reason=\"" + reason.label() + "\"}",
                                        node.dropped().getOrDefault(reason, 0L)));
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append("changes_").append(name).append(' ').append(value).append('\n');
    }

    private static String json(Map<String, Object> content) {
        try {
            return ASCII.asString(content) + "\n";
        } catch (IOException cannotBe) {
            throw new IllegalStateException(cannotBe);
        }
    }
}
