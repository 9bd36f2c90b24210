package passhatch.lab.scale;

import passhatch.cli.CommandGroup;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command {@code scale}: measures what grows with the size of the fleet. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Measures what grows with the size of the fleet; see docs/capacity.")
public final class ScaleCommand extends CommandGroup {

    private ScaleCommand() {}

    /** The command with its own commands. */
    public static CommandLine line() {
        return new CommandLine(new ScaleCommand())
                .addSubcommand(new LatencyCommand())
                .addSubcommand(new ProxyCommand())
                .addSubcommand(new AgentCommand())
                .addSubcommand(new MembershipScaleCommand())
                .addSubcommand(new DistributionScaleCommand());
    }
}
