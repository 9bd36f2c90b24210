package passhatch.lab;

import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import passhatch.agent.config.InvalidInputException;

/** The packaged program that the tools start as processes. */
public final class ProgramJar {

    private static final String FILE_NAME = "passhatch.jar";

    private ProgramJar() {}

    /**
     * The given file, or the one beside this tool where none is given.
     *
     * @throws InvalidInputException where there is no such file
     */
    public static Path find(Path given) {
        Path jar = given != null ? given : besideLabJar();
        if (!Files.isRegularFile(jar)) {
            throw new InvalidInputException(
                    jar + ": there is no such program; build it, or name it with --jar");
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
