package passhatch.lab.drill;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process of the program that a drill has started. Ended by its own handle, never by a name. */
public final class ChildProcess {

    private static final int LOG_TAIL_LINES = 12;

    private final String name;
    private final List<String> command;
    private final Map<String, String> environment;
    private final Path log;
    private Process process;

    /** A process that is not started yet; both of its outputs go to the end of the log. */
    ChildProcess(String name, List<String> command, Map<String, String> environment, Path log) {
        this.name = name;
        this.command = command;
        this.environment = environment;
        this.log = log;
    }

    /** Starts it, or starts it again once it has ended. */
    public synchronized void start() throws IOException {
        if (isAlive()) {
            throw new IOException(name + " runs already");
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** Whether it runs. */
    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Its process id; -1 before the first start. */
    public synchronized long pid() {
        return process == null ? -1 : process.pid();
    }

    /** Sends a signal by its name without SIG; false where the process has ended. */
    synchronized boolean signal(String signal) throws IOException, InterruptedException {
        if (!isAlive()) {
            return false;
        }
        return switch (signal) {
            case "KILL" -> {
                process.destroyForcibly();
                yield true;
            }
            case "TERM" -> {
                process.destroy();
                yield true;
            }
            // The shell's own kill: the JDK has no call for other signals, and not every machine
            // has the
            // program.
            default ->
                    new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                                    .start()
                                    .waitFor()
                            == 0;
        };
    }

    /** Waits for its end. */
    boolean awaitExit(long timeoutMs) throws InterruptedException {
        Process current;
        synchronized (this) {
            current = process;
        }
        return current == null || current.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** SIGTERM, and SIGKILL after the patience; also where it is held by SIGSTOP. */
    public void terminate(long timeoutMs) {
        try {
            signal("CONT");
            if (signal("TERM") && !awaitExit(timeoutMs)) {
                signal("KILL");
            }
            awaitExit(timeoutMs);
        } catch (IOException failed) {
            process.destroyForcibly();
        } catch (InterruptedException interrupted) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }

    /** Ends it at once, whatever it is at. */
    public synchronized void kill() {
        if (isAlive()) {
            process.destroyForcibly();
        }
    }

    /** The last lines of its log. */
    public String logTail() {
        try {
            List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            return String.join(
                    "\n", lines.subList(Math.max(0, lines.size() - LOG_TAIL_LINES), lines.size()));
        } catch (IOException unreadable) {
            return "(no log: " + unreadable + ")";
        }
    }
}
