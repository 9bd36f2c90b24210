package passhatch.lab.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import passhatch.agent.config.InvalidInputException;
import passhatch.cli.CommandGroup;
import passhatch.cli.Commands;
import passhatch.lab.LabLog;
import passhatch.lab.ProgramJar;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code drill} and its subcommands. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description = "Runs real processes of the program with faults between them.")
public final class DrillCommand extends CommandGroup {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String RESULT_FILE = "result.json";

    private DrillCommand() {}

    /** Returns the command line of {@code drill} with its subcommands. */
    public static CommandLine createCommandLine() {
        return new CommandLine(new DrillCommand())
                .addSubcommand(new Run())
                .addSubcommand(new Check())
                .addSubcommand(new Compare())
                .addSubcommand(new GaugeCommand());
    }

    /** Runs a scenario once or several times. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Runs a scenario. Exit code 0 only if all expectations are met.")
    private static final class Run implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "The scenario, in TOML.")
        private Path file;

        @Option(
                names = "--out",
                paramLabel = "DIR",
                defaultValue = "target/drill",
                description =
                        "Where all files go (default: ${DEFAULT-VALUE}); one folder for each"
                                + " repeat.")
        private Path outputFolder;

        @Option(
                names = "--repeat",
                paramLabel = "N",
                defaultValue = "1",
                description = "How often to run the scenario.")
        private int repeat;

        @Option(
                names = "--jar",
                paramLabel = "JAR",
                description = "The program (default: beside this tool).")
        private Path jar;

        @Option(
                names = "--jvm",
                paramLabel = "OPTION",
                description = "An additional option for the program's JVMs.")
        private List<String> jvmOptions = new ArrayList<>();

        @Option(names = "--quiet", description = "Shows no progress bar.")
        private boolean quiet;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Scenario scenario = ScenarioReader.read(file);
            if (repeat < 1) {
                throw new InvalidInputException("--repeat: expected 1 or more");
            }
            Path program = ProgramJar.find(jar);
            boolean holds = true;
            for (int i = 1; i <= repeat; i++) {
                Path folder =
                        outputFolder
                                .resolve(scenario.name())
                                .resolve(String.valueOf(i))
                                .toAbsolutePath();
                recreateFolder(folder);
                LabLog.redirectTo(folder.resolve("lab.jsonl"));
                holds &=
                        printResult(
                                runWithProgressBar(
                                        new Drill(scenario, program, folder, jvmOptions), scenario),
                                folder);
            }
            return holds ? 0 : 1;
        }

        private Result runWithProgressBar(Drill drill, Scenario scenario)
                throws IOException, InterruptedException {
            if (quiet) {
                return drill.run((ms, ended) -> {});
            }
            try (ProgressBar bar =
                    new ProgressBarBuilder()
                            .setTaskName(scenario.name())
                            .setInitialMax(scenario.duration().toMillis())
                            .setUnit(" s", 1_000)
                            .hideEta()
                            .build()) {
                return drill.run(
                        (ms, ended) -> {
                            bar.stepTo(Math.max(0, Math.min(ms, scenario.duration().toMillis())));
                            bar.setExtraMessage(ended[0] + " ended, " + ended[1] + " served");
                        });
            }
        }

        private boolean printResult(Result result, Path folder) {
            PrintWriter text = spec.commandLine().getOut();
            result.counts().forEach((name, n) -> text.printf(Locale.ROOT, "%-18s %10d%n", name, n));
            text.printf(Locale.ROOT, "%-18s %10.4f%n", "served share", result.servedShare());
            result.latencyMs()
                    .forEach(
                            (name, ms) ->
                                    text.printf(
                                            Locale.ROOT,
                                            "%-18s %10.2f ms%n",
                                            "latency " + name,
                                            ms));
            text.printf(
                    Locale.ROOT,
                    "%-18s %10.2f ms (99th percentile; void over the bound)%n",
                    "sent late",
                    result.behindMs().get("p99"));
            result.recoveries()
                    .forEach(
                            r ->
                                    text.printf(
                                            Locale.ROOT,
                                            "%-18s %10s after '%s' at %d ms%n",
                                            "recovery",
                                            r.ms() == null ? "not back" : r.ms() + " ms",
                                            r.fault(),
                                            r.atMs()));
            result.broken().forEach(b -> text.println("NOT as expected: " + b));
            if (result.invalid() != null) {
                text.println("VOID: " + result.invalid());
            }
            text.println(
                    (result.meetsExpectations() ? "All that was expected holds. " : "")
                            + "Report: "
                            + folder.resolve("report.html"));
            text.flush();
            return result.meetsExpectations();
        }
    }

    /** Checks scenarios without running them. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Checks scenarios without running them.")
    private static final class Check implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "FILE", arity = "1..*", description = "Scenarios, in TOML.")
        private List<Path> files;

        @Override
        public Integer call() {
            int invalidFiles = 0;
            for (Path file : files) {
                try {
                    Scenario scenario = ScenarioReader.read(file);
                    spec.commandLine()
                            .getOut()
                            .println(
                                    file
                                            + ": good, "
                                            + FaultPlan.stepsOf(scenario).size()
                                            + " steps");
                } catch (InvalidInputException invalid) {
                    spec.commandLine().getErr().println("passhatch: " + invalid.getMessage());
                    invalidFiles++;
                }
            }
            return invalidFiles == 0 ? 0 : Commands.EXIT_USAGE;
        }
    }

    /** Compares the results of the drills in two folders. */
    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description =
                    "Compares the results of two drills, with confidence intervals over their"
                            + " repeats.")
    private static final class Compare implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "A", description = "Folder of a drill's repeats.")
        private Path folderA;

        @Parameters(
                index = "1",
                paramLabel = "B",
                description = "Folder of another drill's repeats.")
        private Path folderB;

        @Override
        public Integer call() throws IOException {
            spec.commandLine()
                    .getOut()
                    .print(
                            Comparison.formatTable(
                                    Comparison.compare(
                                            readResults(folderA), readResults(folderB))));
            return 0;
        }

        private static List<Result> readResults(Path folder) throws IOException {
            List<Path> files;
            try (Stream<Path> paths = Files.walk(folder, 2)) {
                files = paths.filter(p -> p.endsWith(RESULT_FILE)).sorted().toList();
            } catch (IOException unreadable) {
                throw new InvalidInputException(folder + ": cannot be read: " + unreadable);
            }
            if (files.isEmpty()) {
                throw new InvalidInputException(
                        folder + ": expected a folder with results (" + RESULT_FILE + ")");
            }
            List<Result> all = new ArrayList<>();
            for (Path file : files) {
                all.add(JSON.readValue(file.toFile(), Result.class));
            }
            return all;
        }
    }

    private static void recreateFolder(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> paths = Files.walk(folder)) {
                for (Path path : paths.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
        Files.createDirectories(folder);
    }
}
