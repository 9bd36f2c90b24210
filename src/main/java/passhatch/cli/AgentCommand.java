package passhatch.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import passhatch.agent.Agent;
import passhatch.store.StoreException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code agent}, which runs this machine's agent. */
@Command(
        name = "agent",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description =
                "Runs this machine's agent, which takes part in the fleet (docs/membership.md).")
final class AgentCommand implements Callable<Integer> {

    @Option(
            names = "--config",
            required = true,
            paramLabel = "FILE",
            description = "The agent's configuration, in TOML.")
    private Path file;

    @Override
    public Integer call() throws IOException, StoreException, InterruptedException {
        Agent.run(file, System.getenv(), Commands.version());
        return 0;
    }
}
