package passhatch.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import passhatch.proxy.base.EventLog;

/**
 * Which processes of this proxy run: at a change of version the new one starts beside the old, and both share
 * one folder. The newest leaves its number there.
 */
final class Succession {

    private final Path file;
    private final long own = ProcessHandle.current().pid();
    private Optional<ProcessHandle> other = Optional.empty();

    /** Looks for a process that runs already, and says in the folder that this one has come. */
    Succession(Path folder, EventLog log) {
        this.file = folder.resolve("passhatch.pid");
        look();
        try {
            Files.writeString(file, Long.toString(own));
        } catch (IOException bad) {
            // It serves all the same; at its end it takes itself for the only one.
            log.line("a successor would not be noticed: " + bad);
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

    /** Whether a newer process has come. */
    boolean succeeded() {
        return named().isPresent();
    }

    private void look() {
        other = named();
    }

    /** The process that the file names, where it runs and is not this one. */
    private Optional<ProcessHandle> named() {
        try {
            long pid = Long.parseLong(Files.readString(file).strip());
            return pid == own ? Optional.empty() : ProcessHandle.of(pid).filter(ProcessHandle::isAlive);
        } catch (IOException | NumberFormatException none) {
            return Optional.empty();
        }
    }
}
