package passhatch.cli;

import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that only has commands of its own: without one it names them, as wrong use. */
public abstract class CommandGroup implements Runnable {

    @Spec private CommandSpec spec;

    @Override
    public final void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "no command is given: " + String.join(", ", spec.subcommands().keySet()));
    }
}
