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
final class Succession {

    private final Path file;
    private final Path readyFile;
    private final EventLog log;
    private boolean readySaid;
    private final long own = ProcessHandle.current().pid();
    private Optional<ProcessHandle> other = Optional.empty();

    /** Looks for a process that runs already, and says in the folder that this one has come. */
    Succession(Path folder, EventLog log) {
        this.log = log;
        this.file = folder.resolve("passhatch.pid");
        this.readyFile = folder.resolve("passhatch.ready");
        look();
        leaveNumber(file);
    }

    private void leaveNumber(Path in) {
        try {
            Files.writeString(in, Long.toString(own));
        } catch (IOException bad) {
            // It serves all the same; the older one takes itself for the only one at its end.
            log.line("a successor would not be noticed: " + bad);
        }
    }

    /** This process is ready; to be told as often as it is asked. */
    void ready() {
        if (!readySaid) {
            readySaid = true;
            leaveNumber(readyFile);
        }
    }

    /** Looks again whether another process of this proxy runs. */
    boolean twoRun() {
        if (other.isEmpty()) {
            look();
        }
        other = other.filter(ProcessHandle::isAlive);
        return other.isPresent();
    }

    /** Whether a newer process has come, ready or not. */
    boolean succeeded() {
        return named(file).isPresent();
    }

    /**
     * Whether the newer process has said that it is ready, so that this one may leave all to it.
     */
    boolean replaced() {
        Optional<ProcessHandle> newer = named(file);
        return newer.isPresent() && newer.equals(named(readyFile));
    }

    private void look() {
        other = named(file);
    }

    /** The process that a file names, where it runs and is not this one. */
    private Optional<ProcessHandle> named(Path in) {
        try {
            long pid = Long.parseLong(Files.readString(in).strip());
            return pid == own
                    ? Optional.empty()
                    : ProcessHandle.of(pid).filter(ProcessHandle::isAlive);
        } catch (IOException | NumberFormatException none) {
            return Optional.empty();
        }
    }
}
