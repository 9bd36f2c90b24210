package passhatch.lab.drill;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A child process that runs the program. Signals are sent only to the process that this object has
 * started, never by name.
 */
public final class ChildProcess {

    private static final int LOG_TAIL_LINES = 12;

    private final String name;
    private final List<String> command;
    private final Map<String, String> environment;
    private final Path logFile;
    private Process process;
    private boolean logUnread;

    /**
     * Creates a process without starting it. Standard output and standard error of the process are
     * appended to the log file.
     */
    ChildProcess(String name, List<String> command, Map<String, String> environment, Path logFile) {
        this.name = name;
        this.command = command;
        this.environment = environment;
        this.logFile = logFile;
    }

    /** Starts the process, or starts it again after it has ended. */
    public synchronized void start() throws IOException {
        if (isAlive()) {
            throw new IOException(name + " runs already");
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true);
        if (!logUnread) {
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
        }
        process = builder.start();
    }

    /** Makes the process write its log to a pipe that nobody reads, from its next start on. */
    public synchronized void leaveLogUnread() {
        logUnread = true;
    }

    /** Returns whether the process is running. */
    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Returns the process id, or -1 before the first start. */
    public synchronized long pid() {
        return process == null ? -1 : process.pid();
    }

    /**
     * Sends a signal to the process.
     *
     * @param signal name of the signal without the prefix SIG, such as TERM
     * @return false if the process is not running or the signal cannot be sent
     */
    public synchronized boolean signal(String signal) throws IOException, InterruptedException {
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
            // The JDK cannot send other signals. The shell's built-in kill sends them, as not
            // every machine has a kill program.
            default ->
                    new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                                    .start()
                                    .waitFor()
                            == 0;
        };
    }

    /** Waits for the process to end; returns false if it is still running after the timeout. */
    public boolean awaitExit(long timeoutMs) throws InterruptedException {
        Process current;
        synchronized (this) {
            current = process;
        }
        return current == null || current.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends SIGCONT and SIGTERM. SIGCONT comes first, because a process that SIGSTOP has stopped
     * does not handle SIGTERM. If the process is still running after the timeout, sends SIGKILL.
     */
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

    /** Kills the process immediately. */
    public synchronized void kill() {
        if (isAlive()) {
            process.destroyForcibly();
        }
    }

    /** Returns the last {@link #LOG_TAIL_LINES} lines of the log. */
    public String logTail() {
        List<String> lines = log().lines().toList();
        return String.join(
                "\n", lines.subList(Math.max(0, lines.size() - LOG_TAIL_LINES), lines.size()));
    }

    /** Returns the whole log, of all starts of the process. */
    public String log() {
        try {
            return Files.readString(logFile, StandardCharsets.ISO_8859_1);
        } catch (IOException unreadable) {
            return "(no log: " + unreadable + ")";
        }
    }
}
