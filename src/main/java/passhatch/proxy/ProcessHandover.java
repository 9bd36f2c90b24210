package passhatch.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import passhatch.proxy.base.EventLog;

/**
 * Which processes of this proxy run: at a change of version the new one starts beside the old, and
 * both share one folder. The newest leaves its number there, and again once it has said that it is
 * ready.
 */
final class ProcessHandover {

    private final Path pidFile;
    private final Path readyFile;
    private final EventLog log;
    private boolean readyRecorded;
    private final long ownPid = ProcessHandle.current().pid();
    private Optional<ProcessHandle> otherProcess = Optional.empty();

    /** Looks for a process that runs already, and says in the folder that this one has come. */
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
            // It serves all the same; the older one takes itself for the only one at its end.
            log.line("a successor would not be noticed: " + failure);
        }
    }

    /** This process is ready; to be told as often as it is asked. */
    void recordReady() {
        if (!readyRecorded) {
            readyRecorded = true;
            writePid(readyFile);
        }
    }

    /** Looks again whether another process of this proxy runs. */
    boolean otherProcessRuns() {
        if (otherProcess.isEmpty()) {
            readOtherProcess();
        }
        otherProcess = otherProcess.filter(ProcessHandle::isAlive);
        return otherProcess.isPresent();
    }

    /** Whether a newer process has come, ready or not. */
    boolean newerProcessRuns() {
        return processNamedIn(pidFile).isPresent();
    }

    /**
     * Whether the newer process has said that it is ready, so that this one may leave all to it.
     */
    boolean newerProcessReady() {
        Optional<ProcessHandle> newerProcess = processNamedIn(pidFile);
        return newerProcess.isPresent() && newerProcess.equals(processNamedIn(readyFile));
    }

    private void readOtherProcess() {
        otherProcess = processNamedIn(pidFile);
    }

    /** The process that a file names, where it runs and is not this one. */
    private Optional<ProcessHandle> processNamedIn(Path file) {
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
