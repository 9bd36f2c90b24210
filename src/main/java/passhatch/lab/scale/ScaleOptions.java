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

/**
 * The options that are shared by all commands that measure processes, such as the folder for their
 * files.
 */
final class ScaleOptions {

    private static final ObjectMapper JSON =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final int MAX_SECONDS = 120;
    private static final int MAX_VALUES = 20;

    /**
     * File name of the class data archive that the build creates. The measured processes use the
     * archive if it exists, as deployed processes do.
     */
    private static final String CLASS_ARCHIVE = "passhatch.jsa";

    @Option(names = "--seed", defaultValue = "1", description = "Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Folder for all files (default: target/scale/ and the command's name).")
    private Path out;

    @Option(
            names = "--jar",
            paramLabel = "JAR",
            description = "Jar of the program (default: the one beside this tool).")
    private Path jar;

    @Option(
            names = "--seconds",
            defaultValue = "8",
            description = "Duration of each step, 1 to 120; default: ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(names = "--quiet", description = "Shows no progress bar.")
    private boolean quiet;

    long seed() {
        return seed;
    }

    Path programJar() {
        return ProgramJar.find(jar);
    }

    /**
     * Returns the JVM options for the measured processes, except for the options that limit memory.
     */
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

    /** Returns the folder for a command's files, and creates it if it does not exist. */
    Path createFolder(String command) {
        Path folder = out != null ? out : Path.of("target", "scale", command);
        try {
            Files.createDirectories(folder);
        } catch (IOException unusable) {
            throw new InvalidInputException("--out: " + folder + " cannot be used as a folder");
        }
        LabLog.redirectTo(folder.resolve("lab.jsonl"));
        return folder.toAbsolutePath();
    }

    /**
     * Checks the length and the values of a list of sizes or rates, and returns a copy of the list.
     */
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

    /**
     * Returns the progress of a command, which is shown as a bar on standard error unless {@code
     * --quiet} is set.
     */
    Progress createProgress(String task, int steps) {
        return quiet ? new Progress(null) : new Progress(createProgressBar(task, steps));
    }

    private static ProgressBar createProgressBar(String task, int steps) {
        return new ProgressBarBuilder()
                .setTaskName("scale " + task)
                .setInitialMax(steps)
                .setUnit(" steps", 1)
                .build();
    }

    /** Writes a result to a file as JSON. */
    static void writeJson(Path file, Object result) throws IOException {
        JSON.writeValue(file.toFile(), result);
    }

    /**
     * Counts the completed steps of a command.
     *
     * @param bar the progress bar that shows the steps; null to show nothing
     */
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
