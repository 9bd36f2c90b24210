package passhatch.cli;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import passhatch.adapter.Adapter;
import passhatch.agent.config.InvalidInputException;
import passhatch.proxy.ProxyServer;
import passhatch.proxy.Rehearsal;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.ParameterException;

/**
 * The program's commands with their options and help. Exit codes: 0 for success, 1 for a failure at
 * run time, 2 for a usage error or an unusable file. An error is printed as one line.
 */
public final class Commands {

    /** Exit code of a command that failed at run time. */
    public static final int EXIT_FAILURE = 1;

    /** Exit code of a usage error. */
    public static final int EXIT_USAGE = 2;

    private Commands() {}

    /**
     * Creates the command line with all commands of the deployed jar; other tools may add commands
     * of their own.
     */
    public static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new Root());
        commandLine
                .addSubcommand(new Serve())
                .addSubcommand(new RunAdapter())
                .addSubcommand(new Rehearse())
                .addSubcommand(StoreCommand.commandLine())
                .addSubcommand(new AgentCommand())
                .addSubcommand(new MembersCommand())
                .addSubcommand(new DutiesCommand())
                .addSubcommand(ChangesCommand.commandLine());
        return useOneLineErrors(commandLine);
    }

    /** Makes a command line report each error as one line, without the usage text. */
    public static CommandLine useOneLineErrors(CommandLine commandLine) {
        commandLine.setParameterExceptionHandler(Commands::onUsageError);
        commandLine.setExecutionExceptionHandler(
                (failure, failed, parsed) -> {
                    failed.getErr()
                            .println(
                                    "passhatch: "
                                            + (failure.getMessage() == null
                                                    ? failure
                                                    : failure.getMessage()));
                    return failure instanceof InvalidInputException ? EXIT_USAGE : EXIT_FAILURE;
                });
        return commandLine;
    }

    static int run(String[] args) {
        return commandLine().execute(args);
    }

    private static int onUsageError(ParameterException error, String[] args) {
        CommandLine commandLine = error.getCommandLine();
        PrintWriter err = commandLine.getErr();
        err.println(
                "passhatch: "
                        + error.getMessage().lines().findFirst().orElse("usage error")
                        + "; see '"
                        + commandLine.getCommandSpec().qualifiedName()
                        + " --help'");
        return EXIT_USAGE;
    }

    @Command(
            name = "passhatch",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "A load-balancing HTTP/1.1 proxy for services that call services.",
            footer = {"", "The tools around it (drill) are in passhatch-lab.jar."})
    private static final class Root extends CommandGroup {}

    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description =
                    "Runs one proxy; PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_CONFIG"
                            + " configure it.")
    private static final class Serve implements Callable<Integer> {
        @Override
        public Integer call() throws InterruptedException {
            return ProxyServer.serve(System.getenv(), System.err);
        }
    }

    @Command(
            name = "adapter",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description =
                    "Decides for a simulator: reads batches on standard input, writes replies to"
                            + " standard output.")
    private static final class RunAdapter implements Callable<Integer> {
        @Override
        public Integer call() {
            return Adapter.run(
                    new FileInputStream(FileDescriptor.in),
                    new FileOutputStream(FileDescriptor.out),
                    System.err);
        }
    }

    @Command(
            name = "rehearse",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description =
                    "Serves a few requests of its own, so that the build can archive the classes in"
                            + " use.")
    private static final class Rehearse implements Callable<Integer> {
        @Override
        public Integer call() {
            return Rehearsal.runAndReport(System.err);
        }
    }

    /**
     * Returns the program's version from the jar's manifest; an empty string if the program does
     * not run from a jar.
     */
    static String version() {
        String version = Commands.class.getPackage().getImplementationVersion();
        return version == null ? "" : version;
    }

    /** Provides the text of the option {@code --version}. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {
                "passhatch " + (version().isEmpty() ? "(not packaged)" : version())
            };
        }
    }
}
