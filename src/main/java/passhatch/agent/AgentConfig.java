package passhatch.agent;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import passhatch.agent.config.InvalidInputException;
import passhatch.agent.config.TomlFile;
import passhatch.fleet.Names;
import passhatch.proxy.base.Addresses;

/**
 * A validated agent configuration. If the {@code [fleet]} section omits {@code self}, {@code
 * listen} or {@code members}, the value is taken from what the platform passes to each proxy:
 * {@code self} from the environment variable {@code PROXY_NAME}, and the other two from the file
 * that the environment variable {@code PROXY_CONFIG} names.
 *
 * @param control address for operators' calls
 * @param store folder for the data that must survive a power loss
 * @param fleet membership in the fleet; null if the file has no {@code [fleet]} section
 * @param duties the exclusive jobs of the fleet, each held by lease; null if the file has no {@code
 *     [duties]} section
 * @param changes distribution of configuration changes; null if the file has no {@code [changes]}
 *     section
 */
record AgentConfig(
        InetSocketAddress control, Path store, Fleet fleet, Duties duties, ChangesConfig changes) {

    /** Minimum probe period. */
    private static final Duration MIN_PROBE_PERIOD = Duration.ofMillis(50);

    private static final Duration MAX_PROBE_PERIOD = Duration.ofMinutes(1);

    /** Minimum send rate limit, in bytes per second; the probes alone need this much. */
    private static final long MIN_BYTES_PER_SECOND = 2_048;

    private static final int MAX_MEMBERS = 4_096;

    private static final String AGENT_DEFAULTS =
            """
            [agent]
            """;
    private static final String DUTY_DEFAULTS =
            """
            [duties]
            epoch = 1
            lease = "4s"
            drift = 0.01
            wanted = []
            rank = 0
            """;
    private static final String FLEET_DEFAULTS =
            """
            [fleet]
            roles = ["proxy"]
            period = "500ms"
            bytes_per_second = 16384
            forget_after = "1h"
            """;

    /**
     * The {@code [duties]} section.
     *
     * @param voters names of the members that vote on who holds a duty
     * @param epoch epoch of the set of voters; increases by one with each change of the set
     * @param wanted names of the duties for which this process is a candidate
     * @param rank rank of this process as a candidate; a candidate with rank 0 is preferred as the
     *     holder of a duty
     */
    record Duties(
            List<String> voters,
            long epoch,
            Duration lease,
            double drift,
            List<String> wanted,
            int rank) {}

    /**
     * The validated {@code [fleet]} section.
     *
     * @param self name of this process
     * @param ownAddressIndex index of this process's own address among the members, or -1 if it is
     *     not listed
     */
    record Fleet(
            String name,
            String self,
            InetSocketAddress listen,
            List<InetSocketAddress> members,
            int ownAddressIndex,
            String roles,
            Duration period,
            long bytesPerSecond,
            Duration forgetAfter) {

        /**
         * Returns whether another section has the same values as this one. The list of members and
         * the index of this process's own address are not compared.
         */
        boolean equalsExceptMembers(Fleet other) {
            return other != null
                    && other.equals(
                            new Fleet(
                                    name,
                                    self,
                                    listen,
                                    other.members,
                                    other.ownAddressIndex,
                                    roles,
                                    period,
                                    bytesPerSecond,
                                    forgetAfter));
        }
    }

    private record AgentSection(String control, String store) {}

    private record FleetSection(
            String name,
            String self,
            String listen,
            List<String> members,
            String own,
            List<String> roles,
            Duration period,
            @JsonProperty("bytes_per_second") Long bytesPerSecond,
            @JsonProperty("forget_after") Duration forgetAfter) {}

    private record ConfigFile(
            AgentSection agent, FleetSection fleet, Duties duties, ChangesConfig.Section changes) {}

    /**
     * Reads a configuration file and completes it with default values and from the environment. If
     * a value is invalid, throws {@link InvalidInputException} with a message that names the key
     * and the reason.
     */
    static AgentConfig read(Path path, Map<String, String> env) {
        TomlFile given = TomlFile.read(path);
        TomlFile file =
                given.withDefaults(
                        AGENT_DEFAULTS
                                + (given.tree().has("fleet") ? FLEET_DEFAULTS : "")
                                + (given.tree().has("duties") ? DUTY_DEFAULTS : "")
                                + (given.tree().has("changes") ? ChangesConfig.DEFAULTS : ""));
        ConfigFile sections = file.as(ConfigFile.class);
        file.require(
                sections.agent().store() != null && !sections.agent().store().isBlank(),
                "agent.store",
                "a folder that survives a power loss");
        if (sections.duties() != null) {
            checkDuties(file, sections);
        }
        Fleet fleet = sections.fleet() == null ? null : fleet(file, sections.fleet(), env);
        return new AgentConfig(
                parseAddress(file, "agent.control", sections.agent().control()),
                Path.of(sections.agent().store()),
                fleet,
                sections.duties(),
                sections.changes() == null
                        ? null
                        : ChangesConfig.validate(
                                file, sections.changes(), fleet, sections.duties()));
    }

    private static void checkDuties(TomlFile file, ConfigFile sections) {
        Duties duties = sections.duties();
        file.require(sections.fleet() != null, "duties", "a part [fleet] beside it");
        int voterCount = duties.voters() == null ? 0 : duties.voters().size();
        file.require(
                (voterCount == 3 || voterCount == 5 || voterCount == 7)
                        && new HashSet<>(duties.voters()).size() == voterCount
                        && duties.voters().stream().allMatch(Names::isName),
                "duties.voters",
                "the names of three, five or seven members");
        file.require(duties.epoch() >= 1, "duties.epoch", "1 or more");
        file.require(
                isWithin(duties.lease(), Duration.ofMillis(500), Duration.ofMinutes(10)),
                "duties.lease",
                "500ms to 10m");
        file.require(duties.drift() >= 0 && duties.drift() <= 0.2, "duties.drift", "0 to 0.2");
        file.require(
                duties.wanted() != null
                        && duties.wanted().stream().allMatch(d -> !d.isEmpty() && Names.isLabel(d)),
                "duties.wanted",
                "names of at most " + Names.MAX_LABEL_LENGTH + " characters");
        file.require(duties.rank() >= 0 && duties.rank() <= 100, "duties.rank", "0 to 100");
    }

    private static Fleet fleet(TomlFile file, FleetSection section, Map<String, String> env) {
        file.require(
                section.name() != null
                        && !section.name().isEmpty()
                        && Names.isLabel(section.name()),
                "fleet.name",
                "1 to " + Names.MAX_LABEL_LENGTH + " letters, digits or . _ + , -");
        String self = section.self() != null ? section.self() : env.get("PROXY_NAME");
        file.require(
                self != null && Names.isName(self),
                "fleet.self",
                "the process's own name, 1 to "
                        + Names.MAX_NAME_LENGTH
                        + " letters, digits or . _ -; or PROXY_NAME in the environment");
        file.require(
                section.roles() != null && Names.isLabel(String.join(",", section.roles())),
                "fleet.roles",
                "words of at most "
                        + Names.MAX_LABEL_LENGTH
                        + " characters in all, including the commas between them");
        file.require(
                isWithin(section.period(), MIN_PROBE_PERIOD, MAX_PROBE_PERIOD),
                "fleet.period",
                "50ms to 1m");
        file.require(
                section.bytesPerSecond() != null
                        && section.bytesPerSecond() >= MIN_BYTES_PER_SECOND,
                "fleet.bytes_per_second",
                MIN_BYTES_PER_SECOND + " or more");
        file.require(
                isWithin(
                        section.forgetAfter(),
                        section.period().multipliedBy(100),
                        Duration.ofDays(365)),
                "fleet.forget_after",
                "a hundred periods to a year");
        Map<String, Object> platformConfig =
                section.listen() != null && section.members() != null
                        ? Map.of()
                        : readPlatformConfig(env);
        String listen =
                section.listen() != null
                        ? section.listen()
                        : textOrNull(platformConfig.get("peer_listen"));
        List<String> members =
                section.members() != null
                        ? section.members()
                        : textsOrNull(platformConfig.get("peers"));
        file.require(
                listen != null,
                "fleet.listen",
                "an address like 10.0.0.4:7946; or peer_listen in the file that PROXY_CONFIG"
                        + " names");
        file.require(
                members != null && !members.isEmpty() && members.size() <= MAX_MEMBERS,
                "fleet.members",
                "1 to " + MAX_MEMBERS + " addresses; or peers in the file that PROXY_CONFIG names");
        List<InetSocketAddress> addresses =
                members.stream().map(m -> parseAddress(file, "fleet.members", m)).toList();
        file.require(
                new HashSet<>(addresses).size() == addresses.size(),
                "fleet.members",
                "each address once");
        int ownAddressIndex =
                addresses.indexOf(
                        parseAddress(
                                file, "fleet.own", section.own() != null ? section.own() : listen));
        file.require(
                section.own() == null || ownAddressIndex >= 0, "fleet.own", "one of the members");
        return new Fleet(
                section.name(),
                self,
                parseAddress(file, "fleet.listen", listen),
                addresses,
                ownAddressIndex,
                String.join(",", section.roles()),
                section.period(),
                section.bytesPerSecond(),
                section.forgetAfter());
    }

    private static boolean isWithin(Duration given, Duration min, Duration max) {
        return given != null && given.compareTo(min) >= 0 && given.compareTo(max) <= 0;
    }

    /**
     * Parses the address that the file gives for a key. If the address is malformed, throws {@link
     * InvalidInputException} with a message that names the key.
     */
    static InetSocketAddress parseAddress(TomlFile file, String key, String text) {
        try {
            return Addresses.parse(text == null ? "" : text);
        } catch (IllegalArgumentException malformed) {
            throw new InvalidInputException(
                    file.name()
                            + ": "
                            + key
                            + ": '"
                            + (text == null ? "" : text)
                            + "': expected an address and a port, like 10.0.0.4:7946");
        }
    }

    private static Map<String, Object> readPlatformConfig(Map<String, String> env) {
        String file = env.get("PROXY_CONFIG");
        if (file == null) {
            return Map.of();
        }
        try {
            return JSON.std.mapFrom(Files.readString(Path.of(file)));
        } catch (IOException unreadable) {
            throw new InvalidInputException(
                    file
                            + " (PROXY_CONFIG): cannot be read: "
                            + unreadable.getMessage().lines().findFirst().orElse(""));
        }
    }

    private static String textOrNull(Object value) {
        return value instanceof String text ? text : null;
    }

    private static List<String> textsOrNull(Object value) {
        return value instanceof List<?> list && list.stream().allMatch(String.class::isInstance)
                ? list.stream().map(String.class::cast).toList()
                : null;
    }
}
