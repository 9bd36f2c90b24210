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
import passhatch.agent.config.BadInput;
import passhatch.agent.config.TomlFile;
import passhatch.fleet.Names;
import passhatch.proxy.base.Addresses;

/**
 * An agent's configuration, checked. What a file leaves out of {@code [fleet]} that the platform
 * tells each proxy comes from there: the own name from {@code PROXY_NAME}, where to listen and the
 * members from the file that {@code PROXY_CONFIG} names.
 *
 * @param control where operators can ask
 * @param store folder of what has to survive a power loss
 * @param fleet null where the process takes part in no fleet
 * @param duties null where it neither votes nor wants a duty
 * @param changes null where it takes no part in the distribution of changes
 */
record AgentConfig(
        InetSocketAddress control, Path store, Fleet fleet, Duties duties, ChangesConfig changes) {

    /** The shortest and the longest probe period. */
    private static final Duration SHORTEST = Duration.ofMillis(50);

    private static final Duration LONGEST = Duration.ofMinutes(1);

    /** Less does not pay for the probes. */
    private static final long LEAST_BYTES = 2_048;

    private static final int MOST_MEMBERS = 4_096;

    private static final String DEFAULTS =
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
     * The part on duties.
     *
     * @param epoch of the set of voters; one more with each change
     * @param wanted names of the duties for which this process stands
     * @param rank 0 for those that should have them rather than others
     */
    record Duties(
            List<String> voters,
            long epoch,
            Duration lease,
            double drift,
            List<String> wanted,
            int rank) {}

    /**
     * The part on membership.
     *
     * @param own place of the own address among the members, or -1 where it is not there
     */
    record Fleet(
            String name,
            String self,
            InetSocketAddress listen,
            List<InetSocketAddress> members,
            int own,
            String roles,
            Duration period,
            long bytesPerSecond,
            Duration forgetAfter) {

        /** Whether the other differs in nothing but the members. */
        boolean sameButMembers(Fleet other) {
            return other != null
                    && other.equals(
                            new Fleet(
                                    name,
                                    self,
                                    listen,
                                    other.members,
                                    other.own,
                                    roles,
                                    period,
                                    bytesPerSecond,
                                    forgetAfter));
        }
    }

    private record AgentPart(String control, String store) {}

    private record FleetPart(
            String name,
            String self,
            String listen,
            List<String> members,
            String own,
            List<String> roles,
            Duration period,
            @JsonProperty("bytes_per_second") Long bytesPerSecond,
            @JsonProperty("forget_after") Duration forgetAfter) {}

    private record Whole(
            AgentPart agent, FleetPart fleet, Duties duties, ChangesConfig.Part changes) {}

    /** Reads a file and the environment; throws {@link BadInput} with the key and the reason. */
    static AgentConfig read(Path path, Map<String, String> env) {
        TomlFile given = TomlFile.read(path);
        TomlFile file =
                given.over(
                        DEFAULTS
                                + (given.tree().has("fleet") ? FLEET_DEFAULTS : "")
                                + (given.tree().has("duties") ? DUTY_DEFAULTS : "")
                                + (given.tree().has("changes") ? ChangesConfig.DEFAULTS : ""));
        Whole whole = file.as(Whole.class);
        file.require(
                whole.agent().store() != null && !whole.agent().store().isBlank(),
                "agent.store",
                "a folder that survives a power loss");
        if (whole.duties() != null) {
            check(file, whole);
        }
        Fleet fleet = whole.fleet() == null ? null : fleet(file, whole.fleet(), env);
        return new AgentConfig(
                address(file, "agent.control", whole.agent().control()),
                Path.of(whole.agent().store()),
                fleet,
                whole.duties(),
                whole.changes() == null
                        ? null
                        : ChangesConfig.checked(file, whole.changes(), fleet, whole.duties()));
    }

    private static void check(TomlFile file, Whole whole) {
        Duties duties = whole.duties();
        file.require(whole.fleet() != null, "duties", "a part [fleet] beside it");
        int voters = duties.voters() == null ? 0 : duties.voters().size();
        file.require(
                (voters == 3 || voters == 5 || voters == 7)
                        && new HashSet<>(duties.voters()).size() == voters
                        && duties.voters().stream().allMatch(Names::isName),
                "duties.voters",
                "the names of three, five or seven members");
        file.require(duties.epoch() >= 1, "duties.epoch", "1 or more");
        file.require(
                within(duties.lease(), Duration.ofMillis(500), Duration.ofMinutes(10)),
                "duties.lease",
                "500ms to 10m");
        file.require(duties.drift() >= 0 && duties.drift() <= 0.2, "duties.drift", "0 to 0.2");
        file.require(
                duties.wanted() != null
                        && duties.wanted().stream().allMatch(d -> !d.isEmpty() && Names.isLabel(d)),
                "duties.wanted",
                "names of at most " + Names.MOST_LABEL + " characters");
        file.require(duties.rank() >= 0 && duties.rank() <= 100, "duties.rank", "0 to 100");
    }

    private static Fleet fleet(TomlFile file, FleetPart part, Map<String, String> env) {
        file.require(
                part.name() != null && !part.name().isEmpty() && Names.isLabel(part.name()),
                "fleet.name",
                "1 to " + Names.MOST_LABEL + " letters, digits or . _ + , -");
        String self = part.self() != null ? part.self() : env.get("PROXY_NAME");
        file.require(
                self != null && Names.isName(self),
                "fleet.self",
                "the process's own name, 1 to "
                        + Names.MOST_NAME
                        + " letters, digits or . _ -; or PROXY_NAME in the environment");
        file.require(
                part.roles() != null && Names.isLabel(String.join(",", part.roles())),
                "fleet.roles",
                "words of "
                        + Names.MOST_LABEL
                        + " characters in all, commas between them among these");
        file.require(within(part.period(), SHORTEST, LONGEST), "fleet.period", "50ms to 1m");
        file.require(
                part.bytesPerSecond() != null && part.bytesPerSecond() >= LEAST_BYTES,
                "fleet.bytes_per_second",
                LEAST_BYTES + " or more");
        file.require(
                within(part.forgetAfter(), part.period().multipliedBy(100), Duration.ofDays(365)),
                "fleet.forget_after",
                "a hundred periods to a year");
        Map<String, Object> platform =
                part.listen() != null && part.members() != null ? Map.of() : platform(env);
        String listen = part.listen() != null ? part.listen() : text(platform.get("peer_listen"));
        List<String> members =
                part.members() != null ? part.members() : texts(platform.get("peers"));
        file.require(
                listen != null,
                "fleet.listen",
                "an address like 10.0.0.4:7946; or peer_listen in the file that PROXY_CONFIG"
                        + " names");
        file.require(
                members != null && !members.isEmpty() && members.size() <= MOST_MEMBERS,
                "fleet.members",
                "1 to "
                        + MOST_MEMBERS
                        + " addresses; or peers in the file that PROXY_CONFIG names");
        List<InetSocketAddress> all =
                members.stream().map(m -> address(file, "fleet.members", m)).toList();
        file.require(new HashSet<>(all).size() == all.size(), "fleet.members", "each address once");
        int own = all.indexOf(address(file, "fleet.own", part.own() != null ? part.own() : listen));
        file.require(part.own() == null || own >= 0, "fleet.own", "one of the members");
        return new Fleet(
                part.name(),
                self,
                address(file, "fleet.listen", listen),
                all,
                own,
                String.join(",", part.roles()),
                part.period(),
                part.bytesPerSecond(),
                part.forgetAfter());
    }

    private static boolean within(Duration given, Duration least, Duration most) {
        return given != null && given.compareTo(least) >= 0 && given.compareTo(most) <= 0;
    }

    /** An address, or {@link BadInput} with its key. */
    static InetSocketAddress address(TomlFile file, String key, String text) {
        try {
            return Addresses.parse(text == null ? "" : text);
        } catch (IllegalArgumentException bad) {
            throw new BadInput(
                    file.name()
                            + ": "
                            + key
                            + ": '"
                            + (text == null ? "" : text)
                            + "': expected an address and a port, like 10.0.0.4:7946");
        }
    }

    private static Map<String, Object> platform(Map<String, String> env) {
        String file = env.get("PROXY_CONFIG");
        if (file == null) {
            return Map.of();
        }
        try {
            return JSON.std.mapFrom(Files.readString(Path.of(file)));
        } catch (IOException bad) {
            throw new BadInput(
                    file
                            + " (PROXY_CONFIG): cannot be read: "
                            + bad.getMessage().lines().findFirst().orElse(""));
        }
    }

    private static String text(Object value) {
        return value instanceof String text ? text : null;
    }

    private static List<String> texts(Object value) {
        return value instanceof List<?> list && list.stream().allMatch(String.class::isInstance)
                ? list.stream().map(String.class::cast).toList()
                : null;
    }
}
