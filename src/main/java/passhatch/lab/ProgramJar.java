package passhatch.lab;

import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import passhatch.agent.config.InvalidInputException;

/** Finds the packaged program, which the lab tools start as child processes. */
public final class ProgramJar {

    private static final String FILE_NAME = "passhatch.jar";

    private ProgramJar() {}

    /**
     * Returns the absolute path of the program's jar: the given file or, if that is null, the jar
     * beside the lab's jar.
     *
     * @throws InvalidInputException if the file does not exist
     */
    public static Path find(Path given) {
        Path jar = given != null ? given : besideLabJar();
        if (!Files.isRegularFile(jar)) {
            throw new InvalidInputException(
                    jar + ": no such program; build it, or name another with --jar");
        }
        return jar.toAbsolutePath();
    }

    private static Path besideLabJar() {
        try {
            Path labJar =
                    Path.of(
                            ProgramJar.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI());
            return labJar.resolveSibling(FILE_NAME);
        } catch (URISyntaxException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
