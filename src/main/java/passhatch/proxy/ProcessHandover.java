package passhatch.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import passhatch.proxy.base.EventLog;

/**
 * Tracks the processes of this proxy: during an upgrade the new process starts beside the old one,
 * and both share one folder. The newest process writes its process id into one file of that folder
 * when it starts, and into a second file once it is ready.
 */
final class ProcessHandover {

    private final Path pidFile;
    private final Path readyFile;
    private final EventLog log;
    private boolean readyRecorded;
    private final long ownPid = ProcessHandle.current().pid();
    private Optional<ProcessHandle> otherProcess = Optional.empty();

    /** Looks for a process that is already running and records this one in the folder. */
    ProcessHandover(Path folder, EventLog log) {
        this.log = log;
        this.pidFile = folder.resolve("passhatch.pid");
        this.readyFile = folder.resolve("passhatch.ready");
        readOtherProcess();
        writePid(pidFile);
    }

    private void writePid(Path file) {
        try {
            Files.writeString(file, Long.toString(ownPid));
        } catch (IOException failure) {
            // This process serves anyway. The older process does not see it and shuts down as if no
            // newer one were running.
            log.write(
                    "cannot write the process id, other processes will not notice this one: "
                            + failure);
        }
    }

    /** Records that this process is ready; may be called repeatedly. */
    void recordReady() {
        if (!readyRecorded) {
            readyRecorded = true;
            writePid(readyFile);
        }
    }

    /**
     * Returns whether another process of this proxy is running. If none was found before, looks for
     * such a process again.
     */
    boolean otherProcessRuns() {
        if (otherProcess.isEmpty()) {
            readOtherProcess();
        }
        otherProcess = otherProcess.filter(ProcessHandle::isAlive);
        return otherProcess.isPresent();
    }

    /** Returns whether a newer process of this proxy is running, ready or not. */
    boolean newerProcessRuns() {
        return readProcess(pidFile).isPresent();
    }

    /**
     * Returns whether a newer process of this proxy is ready, so that this process may leave all
     * requests to it.
     */
    boolean newerProcessIsReady() {
        Optional<ProcessHandle> newerProcess = readProcess(pidFile);
        return newerProcess.isPresent() && newerProcess.equals(readProcess(readyFile));
    }

    private void readOtherProcess() {
        otherProcess = readProcess(pidFile);
    }

    /**
     * Returns the process whose id a file contains; empty if that process is not running or is this
     * one, or if the file cannot be read.
     */
    private Optional<ProcessHandle> readProcess(Path file) {
        try {
            long pid = Long.parseLong(Files.readString(file).strip());
            return pid == ownPid
                    ? Optional.empty()
                    : ProcessHandle.of(pid).filter(ProcessHandle::isAlive);
        } catch (IOException | NumberFormatException none) {
            return Optional.empty();
        }
    }
}
