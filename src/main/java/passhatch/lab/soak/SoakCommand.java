package passhatch.lab.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.Callable;
import passhatch.cli.Commands;
import passhatch.lab.ProgramJar;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code soak}: plays runs with misbehaving clients, one for each seed. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Runs a proxy beside misbehaving clients, slow backends and signals, and checks the"
                        + " rules on requests by the records of clients and backends.")
public final class SoakCommand implements Callable<Integer> {

    /** Maximum number of violations that are printed for each run. */
    private static final int MAX_PRINTED = 5;

    @Spec private CommandSpec spec;

    @Option(
            names = "--first-seed",
            defaultValue = "0",
            description = "The seed of the first run; default: ${DEFAULT-VALUE}.")
    private long firstSeed;

    @Option(
            names = "--seeds",
            defaultValue = "50",
            description = "The number of runs; default: ${DEFAULT-VALUE}.")
    private int seeds;

    @Option(
            names = "--jar",
            paramLabel = "FILE",
            description = "The program; default: the jar beside this one.")
    private Path jar;

    @Option(
            names = "--keep",
            description = "Keep the folders of the proxies, with their logs, and print them.")
    private boolean keep;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        int broken = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            SoakRun.Result result = play(seed);
            broken += result.violations().isEmpty() ? 0 : 1;
            print(result, out);
        }
        out.printf("%d seeds, %d broken%n", seeds, broken);
        out.flush();
        return broken == 0 ? 0 : Commands.EXIT_FAILURE;
    }

    private SoakRun.Result play(long seed) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("passhatch-soak");
        try {
            return SoakRun.play(seed, ProgramJar.find(jar), folder);
        } finally {
            if (keep) {
                spec.commandLine().getOut().println("folder: " + folder);
            } else {
                deleteFolder(folder);
            }
        }
    }

    private static void deleteFolder(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(
                            file -> {
                                try {
                                    Files.delete(file);
                                } catch (IOException failed) {
                                    throw new UncheckedIOException(failed);
                                }
                            });
        }
    }

    private static void print(SoakRun.Result result, PrintWriter out) {
        out.printf(
                "seed %d: %s; %d of %d served, %d MB, driver held up %d ms%s%n",
                result.seed(),
                result.violations().isEmpty() ? "ok" : "BROKEN",
                result.served(),
                result.requests(),
                result.peakMemoryMb(),
                result.driverStallMs(),
                result.violations().isEmpty() ? "" : "; " + result.conditions());
        result.violations().stream()
                .limit(MAX_PRINTED)
                .forEach(found -> out.println("    " + found));
        if (result.violations().size() > MAX_PRINTED) {
            out.printf("    and %d more%n", result.violations().size() - MAX_PRINTED);
        }
        out.flush();
    }
}
