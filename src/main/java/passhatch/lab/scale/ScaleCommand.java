package passhatch.lab.scale;

import passhatch.cli.CommandGroup;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command {@code scale}: measures resource use and latency as the fleet grows. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Measures resource use and latency as the fleet grows; see docs/capacity.")
public final class ScaleCommand extends CommandGroup {

    private ScaleCommand() {}

    /** Returns the command with its subcommands. */
    public static CommandLine commandLine() {
        return new CommandLine(new ScaleCommand())
                .addSubcommand(new LatencyCommand())
                .addSubcommand(new ProxyCommand())
                .addSubcommand(new AgentCommand())
                .addSubcommand(new MembershipScaleCommand())
                .addSubcommand(new DistributionScaleCommand());
    }
}
