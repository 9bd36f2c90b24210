package passhatch.lab.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** An agent that runs as a child process, with its configuration, store and log. */
public final class AgentProcess {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String HEAP_OPTION = "-Xmx48m";

    private final String name;
    private final Path folder;
    private final InetSocketAddress listenAddress;
    private final InetSocketAddress controlAddress;
    private final ChildProcess process;

    /** Creates the agent's folder and chooses its ports; the agent is not started yet. */
    public AgentProcess(Path jar, Path folder, String name) throws IOException {
        this.name = name;
        this.folder = Files.createDirectories(folder);
        this.controlAddress = LocalNetwork.reserveAddress();
        this.listenAddress = LocalNetwork.reserveAddress();
        this.process =
                new ChildProcess(
                        folder.getFileName().toString(),
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-XX:+UseSerialGC",
                                HEAP_OPTION,
                                "-jar",
                                jar.toString(),
                                "agent",
                                "--config",
                                configFile().toString()),
                        Map.of(),
                        folder.resolve("log"));
    }

    private Path configFile() {
        return folder.resolve("fleet.toml");
    }

    /** Returns the folder of the agent's persistent store. */
    Path storeFolder() {
        return folder.resolve("store");
    }

    /** Returns the address at which the agent receives datagrams. */
    public InetSocketAddress listenAddress() {
        return listenAddress;
    }

    InetSocketAddress controlAddress() {
        return controlAddress;
    }

    /** Returns the child process. */
    public ChildProcess process() {
        return process;
    }

    /**
     * Writes the agent's configuration.
     *
     * @param members addresses of all members
     * @param ownAddress the agent's own address, which is one of {@code members}
     * @param extraConfig text of further sections of the configuration file
     */
    public void configure(
            List<InetSocketAddress> members, InetSocketAddress ownAddress, String extraConfig)
            throws IOException {
        Files.writeString(
                configFile(),
                """
                [agent]
                control = "%s"
                store = "%s"
                [fleet]
                name = "drill"
                self = "%s"
                listen = "%s"
                own = "%s"
                members = [%s]
                %s
                """
                        .formatted(
                                LocalNetwork.format(controlAddress),
                                storeFolder(),
                                name,
                                LocalNetwork.format(listenAddress),
                                LocalNetwork.format(ownAddress),
                                members.stream()
                                        .map(m -> '"' + LocalNetwork.format(m) + '"')
                                        .collect(Collectors.joining(", ")),
                                extraConfig));
    }

    /**
     * Returns the status of each member as this agent sees it, by the member's name; empty if the
     * agent does not answer.
     */
    Map<String, String> memberStatuses() {
        Map<String, String> statuses = new TreeMap<>();
        queryJson()
                .ifPresent(
                        a ->
                                a.get("members")
                                        .forEach(
                                                m ->
                                                        statuses.put(
                                                                m.get("name").textValue(),
                                                                m.get("status").textValue())));
        return statuses;
    }

    /**
     * Returns the agent's JSON answer to the control call {@code members}; empty if the agent does
     * not answer.
     */
    Optional<JsonNode> queryJson() {
        return queryJson("members");
    }

    /**
     * Returns the agent's JSON answer to a control call; empty if the agent does not answer or the
     * answer is not JSON.
     */
    Optional<JsonNode> queryJson(String call) {
        String text = LocalNetwork.ask(controlAddress, call);
        try {
            return text.startsWith("{") ? Optional.of(JSON.readTree(text)) : Optional.empty();
        } catch (IOException cut) {
            return Optional.empty();
        }
    }

    /**
     * Sends a control call to the agent and returns its answer; an empty text if it does not
     * answer.
     */
    public String ask(String call) {
        return LocalNetwork.ask(controlAddress, call);
    }

    String readLog() throws IOException {
        return Files.readString(folder.resolve("log"));
    }
}
