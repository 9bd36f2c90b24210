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
public final class AgentChild {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String HEAP = "-Xmx48m";

    private final String name;
    private final Path folder;
    private final InetSocketAddress listen;
    private final InetSocketAddress control;
    private final Child child;

    /** An agent that is not started yet; its folder is made, its ports are chosen. */
    public AgentChild(Path jar, Path folder, String name) throws IOException {
        this.name = name;
        this.folder = Files.createDirectories(folder);
        this.control = Local.freePort();
        this.listen = Local.freeUdpPort();
        this.child =
                new Child(
                        folder.getFileName().toString(),
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-XX:+UseSerialGC",
                                HEAP,
                                "-jar",
                                jar.toString(),
                                "agent",
                                "--config",
                                config().toString()),
                        Map.of(),
                        folder.resolve("log"));
    }

    private Path config() {
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
    public Child child() {
        return child;
    }

    /**
     * Writes its configuration with the addresses of all members, which is its own, and further
     * parts.
     */
    public void configure(List<InetSocketAddress> members, InetSocketAddress own, String more)
            throws IOException {
        Files.writeString(
                config(),
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
                                Local.text(control),
                                store(),
                                name,
                                Local.text(listen),
                                Local.text(own),
                                members.stream()
                                        .map(m -> '"' + Local.text(m) + '"')
                                        .collect(Collectors.joining(", ")),
                                more));
    }

    /** What it thinks of all members, by name; empty where it does not answer. */
    Map<String, String> view() {
        Map<String, String> view = new TreeMap<>();
        answer().ifPresent(
                        a ->
                                a.get("members")
                                        .forEach(
                                                m ->
                                                        view.put(
                                                                m.get("name").textValue(),
                                                                m.get("status").textValue())));
        return view;
    }

    /** Its whole answer to {@code members}; empty where there is none. */
    Optional<JsonNode> answer() {
        return answer("members");
    }

    /** Its answer to a call that is answered with JSON; empty where there is none. */
    Optional<JsonNode> answer(String call) {
        String text = Local.ask(control, call);
        try {
            return text.startsWith("{") ? Optional.of(JSON.readTree(text)) : Optional.empty();
        } catch (IOException cut) {
            return Optional.empty();
        }
    }

    /** What its control address answers to a call; nothing where it does not answer. */
    public String ask(String call) {
        return Local.ask(control, call);
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }
}
