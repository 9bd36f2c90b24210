package passhatch.lab;

import passhatch.cli.Commands;
import passhatch.lab.distribution.DistributionCommand;
import passhatch.lab.drain.WatchCommand;
import passhatch.lab.drill.DrillCommand;
import passhatch.lab.duty.DutyCommand;
import passhatch.lab.fleet.FleetCommand;
import passhatch.lab.scale.ScaleCommand;
import passhatch.lab.soak.SoakCommand;
import picocli.CommandLine;

/** Entry point of the lab tools, which offers the program's own commands and those of the lab. */
public final class Main {

    private Main() {}

    /** Runs the command given by the arguments and exits with the command's status. */
    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        return Commands.useOneLineErrors(
                Commands.commandLine()
                        .addSubcommand(DrillCommand.createCommandLine())
                        .addSubcommand(FleetCommand.commandLine())
                        .addSubcommand(DutyCommand.createCommandLine())
                        .addSubcommand(new DistributionCommand())
                        .addSubcommand(new WatchCommand())
                        .addSubcommand(new SoakCommand())
                        .addSubcommand(ScaleCommand.commandLine())
                        .addSubcommand(new StoreBench()));
    }
}
