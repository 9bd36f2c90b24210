package passhatch.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import passhatch.agent.config.InvalidInputException;
import passhatch.distribution.ConfigKey;
import passhatch.distribution.InvalidChangeException;
import passhatch.distribution.Setting;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code changes}: shows and changes the fleet's configuration. */
@Command(
        name = "changes",
        mixinStandardHelpOptions = true,
        description = "Shows and changes the fleet's configuration (docs/distribution.md).")
final class ChangesCommand extends CommandGroup {

    /** Creates the command with its subcommands. */
    static CommandLine commandLine() {
        return new CommandLine(new ChangesCommand())
                .addSubcommand(new Status())
                .addSubcommand(new Put())
                .addSubcommand(new Delete())
                .addSubcommand(new Get())
                .addSubcommand(new Initialize());
    }

    /** The base of all subcommands: calls the agents and prints one line. */
    private abstract static class Subcommand implements Callable<Integer> {
        @Spec private CommandSpec spec;
        @Mixin private ChangesCall agents;

        /** Runs the subcommand and returns the line to print. */
        abstract String execute(ChangesCall agents) throws IOException, InterruptedException;

        @Override
        public final Integer call() throws IOException, InterruptedException {
            String result = execute(agents);
            spec.commandLine().getOut().println(result);
            spec.commandLine().getOut().flush();
            return 0;
        }
    }

    /** The base of the subcommands that change a key of the configuration. */
    private abstract static class Change extends Subcommand {
        @Parameters(
                index = "0",
                paramLabel = "KEY",
                description = "service/NAME/SETTING or fleet/SETTING.")
        protected String key;

        @Option(
                names = "--if-version",
                paramLabel = "VERSION",
                description =
                        "Makes the change only if the key has this version; 0: it is not set.")
        private Long ifVersion;

        String submit(ChangesCall agents, String verb, String value)
                throws IOException, InterruptedException {
            try {
                Setting.check(key, value);
            } catch (InvalidChangeException invalid) {
                throw new InvalidInputException(invalid.getMessage());
            }
            if (ifVersion != null && ifVersion < 0) {
                throw new InvalidInputException(
                        "--if-version: '" + ifVersion + "': expected 0 or more");
            }
            String call =
                    verb
                            + " "
                            + key
                            + (value == null ? "" : " " + value)
                            + (ifVersion == null ? "" : " " + ifVersion);
            return "done " + agents.submit(call);
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Shows an agent's state: role, version, age, followers.")
    private static final class Status extends Subcommand {
        @Override
        String execute(ChangesCall agents) throws IOException {
            return agents.ask("changes");
        }
    }

    @Command(
            name = "put",
            mixinStandardHelpOptions = true,
            description = "Sets a key; returns once a majority of replicas has the change on disk.")
    private static final class Put extends Change {
        @Parameters(index = "1", paramLabel = "VALUE")
        private String value;

        @Override
        String execute(ChangesCall agents) throws IOException, InterruptedException {
            return submit(agents, "change-put", value);
        }
    }

    @Command(
            name = "delete",
            mixinStandardHelpOptions = true,
            description =
                    "Deletes a key; returns once a majority of replicas has the change on disk.")
    private static final class Delete extends Change {
        @Override
        String execute(ChangesCall agents) throws IOException, InterruptedException {
            return submit(agents, "change-delete", null);
        }
    }

    @Command(
            name = "get",
            mixinStandardHelpOptions = true,
            description = "Shows the values in force at an agent, with their versions.")
    private static final class Get extends Subcommand {
        @Parameters(index = "0", arity = "0..1", paramLabel = "KEY")
        private String key;

        @Override
        String execute(ChangesCall agents) throws IOException {
            if (key != null && !ConfigKey.isKey(key)) {
                throw new InvalidInputException(
                        "'" + key + "': expected service/NAME/SETTING or fleet/SETTING");
            }
            return agents.ask("change-get" + (key == null ? "" : " " + key));
        }
    }

    @Command(
            name = "found",
            mixinStandardHelpOptions = true,
            description =
                    "To be run once at each replica when the log is initialized: lets it count"
                            + " towards majorities although its disk is empty.")
    private static final class Initialize extends Subcommand {
        @Override
        String execute(ChangesCall agents) throws IOException {
            agents.ask("changes-found");
            return "it counts towards majorities from now on";
        }
    }
}
