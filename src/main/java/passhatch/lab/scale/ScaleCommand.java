package passhatch.lab.scale;

import passhatch.cli.CommandGroup;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command {@code scale}: measures what real processes cost as sizes grow. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Measures what real processes of the program cost as sizes grow.")
public final class ScaleCommand extends CommandGroup {

    private ScaleCommand() {}

    /** The command with its own commands. */
    public static CommandLine line() {
        return new CommandLine(new ScaleCommand())
                .addSubcommand(new LatencyCommand())
                .addSubcommand(new ProxyCommand())
                .addSubcommand(new AgentCommand());
    }
}
