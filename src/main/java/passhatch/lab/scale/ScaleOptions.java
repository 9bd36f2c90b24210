package passhatch.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import passhatch.agent.config.InvalidInputException;
import passhatch.lab.LabLog;
import passhatch.lab.ProgramJar;
import picocli.CommandLine.Option;

/** What all measurements take, and where they leave their files. */
final class ScaleOptions {

    private static final ObjectMapper JSON =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final int MAX_SECONDS = 120;
    private static final int MAX_VALUES = 20;

    /** The archive of classes that the build leaves; a deployed start uses it where it is there. */
    private static final String CLASS_ARCHIVE = "passhatch.jsa";

    @Option(names = "--seed", defaultValue = "1", description = "Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Where all files go (default: target/scale/ and the command's name).")
    private Path out;

    @Option(
            names = "--jar",
            paramLabel = "JAR",
            description = "The program (default: beside this tool).")
    private Path jar;

    @Option(
            names = "--seconds",
            defaultValue = "8",
            description = "Length of each step, 1 to 120; default: ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(names = "--quiet", description = "No line of progress.")
    private boolean quiet;

    long seed() {
        return seed;
    }

    Path programJar() {
        return ProgramJar.find(jar);
    }

    /** Options for the program's JVMs beside those that limit their memory. */
    List<String> jvmOptions() {
        Path archive = programJar().resolveSibling(CLASS_ARCHIVE);
        return Files.isRegularFile(archive)
                ? List.of("-XX:SharedArchiveFile=" + archive)
                : List.of();
    }

    int seconds() {
        if (seconds < 1 || seconds > MAX_SECONDS) {
            throw new InvalidInputException("--seconds: expected 1 to " + MAX_SECONDS);
        }
        return seconds;
    }

    /** The folder for a command's files, made where it is not there. */
    Path folder(String command) {
        Path folder = out != null ? out : Path.of("target", "scale", command);
        try {
            Files.createDirectories(folder);
        } catch (IOException unusable) {
            throw new InvalidInputException("--out: " + folder + " cannot be used as a folder");
        }
        LabLog.redirectTo(folder.resolve("lab.jsonl"));
        return folder.toAbsolutePath();
    }

    /** Checks a list of sizes or rates. */
    static List<Integer> requireWithin(String option, List<Integer> values, int min, int max) {
        if (values.isEmpty() || values.size() > MAX_VALUES) {
            throw new InvalidInputException(option + ": expected 1 to " + MAX_VALUES + " values");
        }
        for (int value : values) {
            if (value < min || value > max) {
                throw new InvalidInputException(
                        option + ": expected " + min + " to " + max + ", not " + value);
            }
        }
        return new ArrayList<>(values);
    }

    /** The line of progress on the error output. */
    Progress progress(String task, int steps) {
        return quiet ? new Progress(null) : new Progress(progressBar(task, steps));
    }

    private static ProgressBar progressBar(String task, int steps) {
        return new ProgressBarBuilder()
                .setTaskName("scale " + task)
                .setInitialMax(steps)
                .setUnit(" steps", 1)
                .build();
    }

    /** Writes a result as JSON. */
    static void write(Path file, Object result) throws IOException {
        JSON.writeValue(file.toFile(), result);
    }

    /** Counts the steps that are done; silent where no line is wanted. */
    record Progress(ProgressBar bar) implements AutoCloseable {
        void step(String message) {
            if (bar != null) {
                bar.step();
                bar.setExtraMessage(message);
            }
        }

        @Override
        public void close() {
            if (bar != null) {
                bar.close();
            }
        }
    }
}
