package passhatch.lab.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import passhatch.agent.config.TomlFile;

/**
 * Reads and checks scenario files. The error for an invalid file names the file, the key or line at
 * fault, and the expected value.
 */
final class ScenarioReader {

    /**
     * Default values of the keys that a file may omit. The times of faults and the keys of {@code
     * expect} have no default.
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

    /** Reads and checks a scenario file. */
    static Scenario read(Path file) {
        return read(TomlFile.read(file));
    }

    static Scenario read(String file, String text) {
        return read(TomlFile.of(file, text));
    }

    private static Scenario read(TomlFile given) {
        given.require(given.tree().hasNonNull("name"), "name", "the drill's name");
        TomlFile file = given.withDefaults(DEFAULTS);
        ObjectNode root = file.tree();
        if (!given.tree().has("classes")) {
            root.set("classes", TomlFile.of(file.name(), DEFAULT_CLASSES).tree().get("classes"));
        }
        for (JsonNode fault : root.withArray("faults")) {
            if (fault instanceof ObjectNode node) {
                addFaultDefaults(node);
            }
        }
        Scenario scenario = file.as(Scenario.class);
        new Validator(file, scenario).checkAll();
        return scenario;
    }

    private static void addFaultDefaults(ObjectNode fault) {
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

    /** Checks the bounds of a scenario's values. */
    private record Validator(TomlFile file, Scenario scenario) {
        void checkAll() {
            require(
                    scenario.proxies() != null && isWithin(scenario.proxies().count(), 1, 64),
                    "proxies.count",
                    "1 to 64");
            require(
                    isWithin(scenario.proxies().memoryMb(), 48, 4096),
                    "proxies.memory_mb",
                    "48 to 4096");
            require(
                    isWithin(scenario.proxies().sockets(), 128, 65536),
                    "proxies.sockets",
                    "128 to 65536");
            require(
                    scenario.proxies().openFiles() == 0
                            || isWithin(scenario.proxies().openFiles(), 64, 65536),
                    "proxies.open_files",
                    "0 or 64 to 65536");
            require(isWithin(scenario.backends().count(), 1, 1000), "backends.count", "1 to 1000");
            require(scenario.backends().cores() >= 1, "backends.cores", "at least 1");
            require(scenario.backends().slots() >= 1, "backends.slots", "at least 1");
            require(scenario.backends().queue() >= 0, "backends.queue", "0 or more");
            require(scenario.backends().connections() >= 1, "backends.connections", "at least 1");
            require(
                    scenario.backends().coldShare() > 0 && scenario.backends().coldShare() <= 1,
                    "backends.cold_share",
                    "over 0 and up to 1");
            require(
                    isPositive(scenario.backends().service().mean()),
                    "backends.service.mean",
                    "a time over 0");
            require(
                    scenario.duration() != null
                            && isWithin(scenario.duration().toSeconds(), 1, 3600),
                    "duration",
                    "1s to 1h");
            require(
                    scenario.load().rate() > 0 && scenario.load().rate() <= 200_000,
                    "load.rate",
                    "over 0 and up to 200000");
            require(isWithin(scenario.load().threads(), 1, 16), "load.threads", "1 to 16");
            require(isWithin(scenario.load().retries(), 0, 5), "load.retries", "0 to 5");
            require(scenario.load().connections() >= 1, "load.connections", "at least 1");
            require(!scenario.classes().isEmpty(), "classes", "at least one");
            for (int i = 0; i < scenario.classes().size(); i++) {
                Scenario.RequestClass requestClass = scenario.classes().get(i);
                String key = "classes[" + (i + 1) + "].";
                require(
                        requestClass.name() != null
                                && requestClass.name().matches("[a-z][a-z0-9-]*"),
                        key + "name",
                        "small letters, digits and hyphens");
                require(requestClass.effect() != null, key + "effect", "safe, keyed or unsafe");
                require(requestClass.share() > 0, key + "share", "over 0");
                require(isPositive(requestClass.aim()), key + "aim", "a time over 0");
                require(isPositive(requestClass.deadline()), key + "deadline", "a time over 0");
            }
            for (int i = 0; i < scenario.faults().size(); i++) {
                checkFault(scenario.faults().get(i), "faults[" + (i + 1) + "].");
            }
            require(
                    scenario.expect() != null
                            && !scenario.expect()
                                    .equals(
                                            new Scenario.Expectations(
                                                    null, null, null, null, null, null, null, null,
                                                    null, null, null, null)),
                    "expect",
                    "at least one thing that must hold");
        }

        private void checkFault(Scenario.Fault fault, String key) {
            require(fault.type() != null, key + "do", "the name of a fault");
            require(
                    fault.at() != null && fault.at().compareTo(scenario.duration()) < 0,
                    key + "at",
                    "a time before the end of the load");
            require(
                    fault.duration() == null
                            || isPositive(fault.duration()) && fault.type().undoneBy() != null,
                    key + "for",
                    "a time over 0, and a fault that can be undone");
            require(fault.share() > 0 && fault.share() <= 1, key + "share", "over 0 and up to 1");
            require(fault.factor() > 1, key + "factor", "over 1");
            switch (fault.type().targetType()) {
                case PROXY ->
                        checkNames(
                                fault.target(),
                                "proxy",
                                "proxies",
                                scenario.proxies().count(),
                                key + "target");
                case BACKEND ->
                        checkNames(
                                fault.target(),
                                "backend",
                                "backends",
                                scenario.backends().count(),
                                key + "target");
                default ->
                        require(
                                fault.target().isEmpty(),
                                key + "target",
                                "none, as there is only one");
            }
            boolean grouped =
                    fault.type() == FaultType.PARTITION || fault.type() == FaultType.ONE_WAY;
            require(
                    grouped != fault.groups().isEmpty(),
                    key + "groups",
                    grouped ? "lists of proxies" : "none for this fault");
            fault.groups()
                    .forEach(
                            g ->
                                    checkNames(
                                            g,
                                            "proxy",
                                            "proxies",
                                            scenario.proxies().count(),
                                            key + "groups"));
        }

        private void checkNames(
                List<String> given, String prefix, String all, int count, String key) {
            boolean known =
                    given.stream()
                            .allMatch(
                                    name ->
                                            name.equals(all)
                                                    || isNumberedName(name, prefix, count));
            require(
                    !given.isEmpty() && known,
                    key,
                    prefix + "-1 to " + prefix + "-" + count + ", or " + all);
        }

        private static boolean isNumberedName(String name, String prefix, int count) {
            return name.matches(prefix + "-[1-9]\\d{0,3}")
                    && Integer.parseInt(name.substring(prefix.length() + 1)) <= count;
        }

        private static boolean isWithin(long value, long min, long max) {
            return value >= min && value <= max;
        }

        private static boolean isPositive(Duration duration) {
            return duration != null && !duration.isNegative() && !duration.isZero();
        }

        private void require(boolean holds, String key, String expected) {
            file.require(holds, key, expected);
        }
    }
}
