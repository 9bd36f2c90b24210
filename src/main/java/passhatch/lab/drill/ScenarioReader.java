package passhatch.lab.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import passhatch.agent.config.TomlFile;

/**
 * Reads scenario files and says of a bad one which file, which key or line, and what was expected
 * there.
 */
final class ScenarioReader {

    /**
     * What files may leave out. Times of a fault and all of {@code expect} have no values of their
     * own.
     */
    private static final String DEFAULTS =
            """
            about = ""
            seed = 1
            duration = "20s"
            faults = []
            [proxies]
            count = 2
            memory_mb = 144
            sockets = 1024
            retries = true
            ready_within = "20s"
            open_files = 0
            asks = false
            [backends]
            count = 4
            cores = 2
            slots = 8
            queue = 32
            connections = 256
            cold_share = 1.0
            cold_for = "0s"
            [backends.service]
            distribution = "exponential"
            mean = "5ms"
            sigma = 0.5
            [load]
            rate = 200.0
            arrivals = "poisson"
            connections = 32
            retries = 1
            detect = "1s"
            threads = 1
            behind = "50ms"
            [expect]
            """;

    private static final String DEFAULT_CLASSES =
            """
            [[classes]]
            name = "look-up"
            effect = "safe"
            share = 0.7
            aim = "200ms"
            deadline = "1s"
            [[classes]]
            name = "settle"
            effect = "keyed"
            share = 0.2
            aim = "300ms"
            deadline = "1500ms"
            [[classes]]
            name = "notice"
            effect = "unsafe"
            share = 0.1
            aim = "300ms"
            deadline = "1500ms"
            """;

    private ScenarioReader() {}

    /** Reads and checks a file. */
    static Scenario read(Path file) {
        return read(TomlFile.read(file));
    }

    static Scenario read(String file, String text) {
        return read(TomlFile.of(file, text));
    }

    private static Scenario read(TomlFile given) {
        given.require(given.tree().hasNonNull("name"), "name", "the drill's name");
        TomlFile file = given.withDefaults(DEFAULTS);
        ObjectNode whole = file.tree();
        if (!given.tree().has("classes")) {
            whole.set("classes", TomlFile.of(file.name(), DEFAULT_CLASSES).tree().get("classes"));
        }
        for (JsonNode fault : whole.withArray("faults")) {
            if (fault instanceof ObjectNode node) {
                faultDefaults(node);
            }
        }
        Scenario scenario = file.as(Scenario.class);
        new Check(file, scenario).all();
        return scenario;
    }

    private static void faultDefaults(ObjectNode fault) {
        if (!fault.has("share")) {
            fault.put("share", 1.0);
        }
        if (!fault.has("factor")) {
            fault.put("factor", 10.0);
        }
        if (!fault.has("by")) {
            fault.put("by", "1s");
        }
        if (!fault.has("groups")) {
            fault.putArray("groups");
        }
        if (!fault.has("target")) {
            fault.putArray("target");
        } else if (fault.get("target").isTextual()) {
            String one = fault.get("target").textValue();
            fault.putArray("target").add(one);
        }
    }

    /** The bounds that a scenario's values have to keep. */
    private record Check(TomlFile file, Scenario s) {
        void all() {
            require(
                    s.proxies() != null && within(s.proxies().count(), 1, 64),
                    "proxies.count",
                    "1 to 64");
            require(within(s.proxies().memoryMb(), 48, 4096), "proxies.memory_mb", "48 to 4096");
            require(within(s.proxies().sockets(), 128, 65536), "proxies.sockets", "128 to 65536");
            require(
                    s.proxies().openFiles() == 0 || within(s.proxies().openFiles(), 64, 65536),
                    "proxies.open_files",
                    "0 or 64 to 65536");
            require(within(s.backends().count(), 1, 1000), "backends.count", "1 to 1000");
            require(s.backends().cores() >= 1, "backends.cores", "at least 1");
            require(s.backends().slots() >= 1, "backends.slots", "at least 1");
            require(s.backends().queue() >= 0, "backends.queue", "0 or more");
            require(s.backends().connections() >= 1, "backends.connections", "at least 1");
            require(
                    s.backends().coldShare() > 0 && s.backends().coldShare() <= 1,
                    "backends.cold_share",
                    "over 0 and up to 1");
            require(
                    positive(s.backends().service().mean()),
                    "backends.service.mean",
                    "a time over 0");
            require(
                    s.duration() != null && within(s.duration().toSeconds(), 1, 3600),
                    "duration",
                    "1s to 1h");
            require(
                    s.load().rate() > 0 && s.load().rate() <= 200_000,
                    "load.rate",
                    "over 0 and up to 200000");
            require(within(s.load().threads(), 1, 16), "load.threads", "1 to 16");
            require(within(s.load().retries(), 0, 5), "load.retries", "0 to 5");
            require(s.load().connections() >= 1, "load.connections", "at least 1");
            require(!s.classes().isEmpty(), "classes", "at least one");
            for (int i = 0; i < s.classes().size(); i++) {
                Scenario.RequestKind kind = s.classes().get(i);
                String key = "classes[" + (i + 1) + "].";
                require(
                        kind.name() != null && kind.name().matches("[a-z][a-z0-9-]*"),
                        key + "name",
                        "small letters, digits and hyphens");
                require(kind.effect() != null, key + "effect", "safe, keyed or unsafe");
                require(kind.share() > 0, key + "share", "over 0");
                require(positive(kind.aim()), key + "aim", "a time over 0");
                require(positive(kind.deadline()), key + "deadline", "a time over 0");
            }
            for (int i = 0; i < s.faults().size(); i++) {
                fault(s.faults().get(i), "faults[" + (i + 1) + "].");
            }
            require(
                    s.expect() != null
                            && !s.expect()
                                    .equals(
                                            new Scenario.Expect(
                                                    null, null, null, null, null, null, null, null,
                                                    null, null, null, null)),
                    "expect",
                    "at least one thing that must hold");
        }

        private void fault(Scenario.Fault f, String key) {
            require(f.kind() != null, key + "do", "the name of a fault");
            require(
                    f.at() != null && f.at().compareTo(s.duration()) < 0,
                    key + "at",
                    "a time before the end of the load");
            require(
                    f.lasts() == null || positive(f.lasts()) && f.kind().undo() != null,
                    key + "for",
                    "a time over 0, and a fault that can be undone");
            require(f.share() > 0 && f.share() <= 1, key + "share", "over 0 and up to 1");
            require(f.factor() > 1, key + "factor", "over 1");
            switch (f.kind().on()) {
                case PROXY ->
                        names(f.target(), "proxy", "proxies", s.proxies().count(), key + "target");
                case BACKEND ->
                        names(
                                f.target(),
                                "backend",
                                "backends",
                                s.backends().count(),
                                key + "target");
                default ->
                        require(f.target().isEmpty(), key + "target", "none, as there is only one");
            }
            boolean grouped = f.kind() == FaultKind.PARTITION || f.kind() == FaultKind.ONE_WAY;
            require(
                    grouped != f.groups().isEmpty(),
                    key + "groups",
                    grouped ? "lists of proxies" : "none for this fault");
            f.groups()
                    .forEach(
                            g -> names(g, "proxy", "proxies", s.proxies().count(), key + "groups"));
        }

        private void names(List<String> given, String one, String all, int count, String key) {
            boolean known =
                    given.stream().allMatch(name -> name.equals(all) || isOne(name, one, count));
            require(
                    !given.isEmpty() && known,
                    key,
                    one + "-1 to " + one + "-" + count + ", or " + all);
        }

        private static boolean isOne(String name, String kind, int count) {
            return name.matches(kind + "-[1-9]\\d{0,3}")
                    && Integer.parseInt(name.substring(kind.length() + 1)) <= count;
        }

        private static boolean within(long value, long least, long most) {
            return value >= least && value <= most;
        }

        private static boolean positive(Duration d) {
            return d != null && !d.isNegative() && !d.isZero();
        }

        private void require(boolean holds, String key, String expected) {
            file.require(holds, key, expected);
        }
    }
}
