package passhatch.lab;

import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import passhatch.agent.config.InvalidInputException;

/** The packaged program that the tools start as processes. */
public final class ProgramJar {

    private static final String NAME = "passhatch.jar";

    private ProgramJar() {}

    /**
     * The given file, or the one beside this tool where none is given.
     *
     * @throws InvalidInputException where there is no such file
     */
    public static Path find(Path given) {
        Path jar = given != null ? given : besideThis();
        if (!Files.isRegularFile(jar)) {
            throw new InvalidInputException(
                    jar + ": there is no such program; build it, or name it with --jar");
        }
        return jar.toAbsolutePath();
    }

    private static Path besideThis() {
        try {
            Path own =
                    Path.of(
                            ProgramJar.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI());
            return own.resolveSibling(NAME);
        } catch (URISyntaxException cannotBe) {
            throw new IllegalStateException(cannotBe);
        }
    }
}
