package passhatch.agent;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import passhatch.agent.config.TomlFile;
import passhatch.distribution.ConfigKey;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.distribution.Setting;

/**
 * The validated {@code [changes]} section, which configures how this process takes part in the
 * distribution of configuration changes.
 *
 * @param listen address of the UDP socket for the distribution
 * @param role role of this process in the distribution
 * @param epoch epoch of the log; raised when the log is initialized again
 * @param replicas addresses of all replicas, including this one; empty unless this is a replica
 * @param sources addresses of the nodes to follow, the preferred one first; empty for a replica
 * @param services names of the services whose keys a subscriber receives
 * @param publish file to which the values in force are written; null if they are not written to a
 *     file
 */
record ChangesConfig(
        Role role,
        InetSocketAddress listen,
        long epoch,
        List<String> replicas,
        List<String> sources,
        List<String> services,
        Path publish) {

    /** Name of the duty whose holder leads the replication of configuration changes. */
    static final String DUTY = "changes";

    /** Default values, in TOML, for the keys that a file may omit. */
    static final String DEFAULTS =
            """
            [changes]
            epoch = 1
            replicas = []
            sources = []
            services = []
            """;

    private static final int MAX_SOURCES = 16;
    private static final int MAX_SERVICES = 64;

    /** The section as it is written in the file, before validation. */
    record Section(
            String role,
            String listen,
            Long epoch,
            List<String> replicas,
            List<String> sources,
            List<String> services,
            String publish) {}

    /**
     * Validates the section. If a value is invalid, throws an exception whose message names the
     * key.
     */
    static ChangesConfig validate(
            TomlFile file, Section section, AgentConfig.Fleet fleet, AgentConfig.Duties duties) {
        file.require(fleet != null, "changes", "a part [fleet] beside it");
        Role role = role(file, section.role());
        InetSocketAddress listen =
                AgentConfig.parseAddress(file, "changes.listen", section.listen());
        file.require(
                !listen.equals(fleet.listen()),
                "changes.listen",
                "another address than fleet.listen");
        file.require(
                section.epoch() >= 1 && section.epoch() <= Integer.MAX_VALUE,
                "changes.epoch",
                "1 to " + Integer.MAX_VALUE);
        ChangesConfig config =
                new ChangesConfig(
                        role,
                        listen,
                        section.epoch(),
                        parseAddresses(file, "changes.replicas", section.replicas()),
                        parseAddresses(file, "changes.sources", section.sources()),
                        List.copyOf(section.services()),
                        section.publish() == null ? null : Path.of(section.publish()));
        if (role == Role.REPLICA) {
            config.checkReplica(file, fleet, duties);
        } else {
            config.checkFollower(file, duties);
        }
        return config;
    }

    private static Role role(TomlFile file, String label) {
        List<Role> roles = Arrays.asList(Role.values());
        List<String> labels = roles.stream().map(ChangesConfig::label).toList();
        file.require(
                labels.contains(label),
                "changes.role",
                labels.stream().map(l -> '"' + l + '"').collect(Collectors.joining(", ")));
        return roles.get(labels.indexOf(label));
    }

    /** Returns the name that stands for a role in the configuration and in output. */
    static String label(Role role) {
        return role.name().toLowerCase(Locale.ROOT);
    }

    private static List<String> parseAddresses(TomlFile file, String key, List<String> texts) {
        List<String> addresses =
                texts.stream()
                        .map(t -> MembersText.format(AgentConfig.parseAddress(file, key, t)))
                        .toList();
        file.require(new HashSet<>(addresses).size() == addresses.size(), key, "each address once");
        return addresses;
    }

    private void checkReplica(TomlFile file, AgentConfig.Fleet fleet, AgentConfig.Duties duties) {
        file.require(
                duties != null, "changes.role", "a part [duties] beside it, as a replica may lead");
        file.require(
                duties.voters().contains(fleet.self()),
                "duties.voters",
                fleet.self() + " among them, as it is a replica");
        int count = replicas.size();
        file.require(
                count == 3 || count == 5 || count == 7,
                "changes.replicas",
                "the addresses of three, five or seven replicas");
        file.require(
                replicas.contains(MembersText.format(listen)),
                "changes.replicas",
                "changes.listen among them");
        file.require(sources.isEmpty(), "changes.sources", "none, as a replica follows nobody");
        file.require(services.isEmpty(), "changes.services", "none, as a replica has all keys");
    }

    private void checkFollower(TomlFile file, AgentConfig.Duties duties) {
        file.require(
                !sources.isEmpty() && sources.size() <= MAX_SOURCES,
                "changes.sources",
                "1 to " + MAX_SOURCES + " addresses, the preferred first");
        file.require(
                !sources.contains(MembersText.format(listen)),
                "changes.sources",
                "other addresses than changes.listen");
        file.require(
                role == Role.SUBSCRIBER || services.isEmpty(),
                "changes.services",
                "none, as a relay has all keys");
        file.require(
                services.size() <= MAX_SERVICES
                        && services.stream().allMatch(ChangesConfig::isServiceName),
                "changes.services",
                "names of at most " + MAX_SERVICES + " services");
        file.require(
                duties == null || !duties.wanted().contains(DUTY),
                "duties.wanted",
                "no '" + DUTY + "', as only replicas may lead");
    }

    private static boolean isServiceName(String name) {
        return name != null && ConfigKey.isKey("service/" + name + "/" + Setting.ENABLED.label());
    }
}
