package passhatch.cli;

import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * A command that only groups subcommands. If it is run without a subcommand, it reports a usage
 * error that lists the subcommands.
 */
public abstract class CommandGroup implements Runnable {

    @Spec private CommandSpec spec;

    @Override
    public final void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "no command is given, expected one of: "
                        + String.join(", ", spec.subcommands().keySet()));
    }
}
