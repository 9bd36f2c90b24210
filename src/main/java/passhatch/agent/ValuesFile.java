package passhatch.agent;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the configuration values that are in force to a file that other programs on this machine
 * can read.
 */
final class ValuesFile {

    private static final Logger LOG = LoggerFactory.getLogger(ValuesFile.class);

    private final Path path;
    private boolean lastWriteFailed;

    ValuesFile(Path path) {
        this.path = path;
    }

    /**
     * Replaces the file atomically, so that a reader always sees the values of a single version. A
     * failure is logged unless the previous write failed as well.
     */
    void replace(long epoch, long version, Map<String, String> values) {
        Map<String, Object> content = new LinkedHashMap<>();
        content.put("epoch", epoch);
        content.put("version", version);
        content.put("values", values);
        Path temporary = path.resolveSibling(path.getFileName() + ".new");
        try {
            Files.write(temporary, JSON.std.asBytes(content));
            Files.move(
                    temporary,
                    path,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            lastWriteFailed = false;
        } catch (IOException unwritable) {
            if (!lastWriteFailed) {
                LOG.atError()
                        .addKeyValue("event", "changes")
                        .log("the values file cannot be written: {}", unwritable.toString());
            }
            lastWriteFailed = true;
        }
    }
}
