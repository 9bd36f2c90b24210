package passhatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The module stays small enough to be read in a sitting. */
class ModuleSizeTest {

    @Test
    void moduleHasAtMost910Lines() throws IOException {
        long lines =
                Files.readAllLines(Path.of("src/main/java/passhatch/Logic.java")).stream()
                        .filter(line -> !line.isBlank())
                        .count();
        assertTrue(lines > 0 && lines <= 910, "non-blank lines: " + lines);
    }

    /**
     * The operators run no module that is longer, over all of the files that the deploy file names.
     */
    @Test
    void allOfThePolicyHasAtMost1200Lines() throws IOException {
        String policy =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("policy"))
                        .findFirst()
                        .orElseThrow();
        long lines = 0;
        for (String file :
                policy.replaceAll("[^\"]*\"([^\"]*)\"[^\"]*", "$1 ").strip().split(" ")) {
            lines +=
                    Files.readAllLines(Path.of(file)).stream()
                            .filter(line -> !line.isBlank())
                            .count();
        }
        assertTrue(lines > 900 && lines <= 1200, "non-blank lines: " + lines);
    }
}
