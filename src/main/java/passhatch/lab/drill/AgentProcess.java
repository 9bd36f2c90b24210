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

/** One agent as a process of its own, with its configuration, its store and its log. */
public final class AgentProcess {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String HEAP_OPTION = "-Xmx48m";

    private final String name;
    private final Path folder;
    private final InetSocketAddress listen;
    private final InetSocketAddress control;
    private final ChildProcess process;

    /** An agent that is not started yet; its folder is made, its ports are chosen. */
    public AgentProcess(Path jar, Path folder, String name) throws IOException {
        this.name = name;
        this.folder = Files.createDirectories(folder);
        this.control = LocalNetwork.freeTcpAddress();
        this.listen = LocalNetwork.freeUdpAddress();
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

    /** Where it keeps what has to survive. */
    Path store() {
        return folder.resolve("store");
    }

    /** Where it receives datagrams. */
    public InetSocketAddress listen() {
        return listen;
    }

    InetSocketAddress control() {
        return control;
    }

    /** Its process. */
    public ChildProcess process() {
        return process;
    }

    /**
     * Writes its configuration with the addresses of all members, which is its own, and further
     * parts.
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
                                LocalNetwork.format(control),
                                store(),
                                name,
                                LocalNetwork.format(listen),
                                LocalNetwork.format(ownAddress),
                                members.stream()
                                        .map(m -> '"' + LocalNetwork.format(m) + '"')
                                        .collect(Collectors.joining(", ")),
                                extraConfig));
    }

    /** What it thinks of all members, by name; empty where it does not answer. */
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

    /** Its whole answer to {@code members}; empty where there is none. */
    Optional<JsonNode> queryJson() {
        return queryJson("members");
    }

    /** Its answer to a call that is answered with JSON; empty where there is none. */
    Optional<JsonNode> queryJson(String call) {
        String text = LocalNetwork.ask(control, call);
        try {
            return text.startsWith("{") ? Optional.of(JSON.readTree(text)) : Optional.empty();
        } catch (IOException cut) {
            return Optional.empty();
        }
    }

    /** What its control address answers to a call; nothing where it does not answer. */
    public String ask(String call) {
        return LocalNetwork.ask(control, call);
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }
}
