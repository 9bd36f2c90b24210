import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** An agent of the program, as docs/operations.md has it started. */
final class Agent {
    final Kit kit;
    final String label;
    final String self;
    final int fleetPort;
    final int controlPort;
    final Path store;
    Process process;

    /** Chooses ports and folders; {@code label} names them, {@code self} is the agent's own name. */
    Agent(Kit kit, String label, String self) throws IOException {
        this.kit = kit;
        this.label = label;
        this.self = self;
        this.fleetPort = Kit.freeUdpPort();
        this.controlPort = Kit.freeTcpPort();
        this.store = kit.temp.resolve(label + "-store");
    }

    /** Writes the configuration. */
    void configure(List<Agent> members, String moreSections) throws IOException {
        Files.writeString(
                kit.temp.resolve(label + ".toml"),
                "[agent]\n"
                        + "control = \"127.0.0.1:" + controlPort + "\"\n"
                        + "store = \"" + store + "\"\n"
                        + "[fleet]\n"
                        + "name = \"review\"\n"
                        + "self = \"" + self + "\"\n"
                        + "listen = \"127.0.0.1:" + fleetPort + "\"\n"
                        + "members = ["
                        + members.stream()
                                .map(m -> "\"127.0.0.1:" + m.fleetPort + "\"")
                                .collect(Collectors.joining(", "))
                        + "]\n"
                        + moreSections);
    }

    void start() throws IOException {
        process =
                kit.start(
                        label,
                        Map.of(),
                        "java",
                        "-Xmx48m",
                        "-jar",
                        "target/passhatch.jar",
                        "agent",
                        "--config",
                        kit.temp.resolve(label + ".toml").toString());
    }

    String ask(String call) {
        return Kit.ask(controlPort, call);
    }

    void awaitStarted() throws Exception {
        Kit.await(label + " answers", 20_000, () -> ask("check").startsWith("done"));
    }

    /** Waits for any answer to "check": a process whose name is taken answers with an error. */
    void awaitStartedOrGivingWay() throws Exception {
        Kit.await(label + " answers", 20_000, () -> !ask("check").isEmpty());
    }

    String control() {
        return "127.0.0.1:" + controlPort;
    }
}
