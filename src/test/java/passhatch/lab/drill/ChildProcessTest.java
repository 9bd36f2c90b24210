package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ChildProcessTest {

    private static final int TIMEOUT_MS = 20_000;

    @TempDir private Path folder;

    private ChildProcess startScript(String script) throws Exception {
        ChildProcess child =
                new ChildProcess(
                        "c",
                        List.of("/bin/sh", "-c", script),
                        Map.of("WORD", "hello"),
                        folder.resolve("log"));
        child.start();
        long endNs = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (!child.logTail().contains("hello")) {
            assertTrue(System.nanoTime() < endNs, "the process did not start in time");
            Thread.sleep(5);
        }
        return child;
    }

    /** Ignored signals stay ignored over exec, so the process itself ignores SIGTERM. */
    @Test
    void aProcessThatIgnoresSigtermIsKilledAfterTheTimeout() throws Exception {
        ChildProcess child = startScript("trap '' TERM; echo $WORD; exec sleep 60");
        assertTrue(child.signal("TERM"));
        assertFalse(child.awaitExit(100));
        child.terminate(100);
        assertFalse(child.isAlive());
        assertFalse(child.signal("TERM"), "the process has ended");
    }

    @Test
    void aStoppedProcessIsTerminated() throws Exception {
        ChildProcess child = startScript("echo $WORD; exec sleep 60");
        assertTrue(child.signal("STOP"));
        child.terminate(TIMEOUT_MS);
        assertFalse(child.isAlive());
        child.start();
        assertTrue(child.isAlive());
        child.kill();
        assertTrue(child.awaitExit(TIMEOUT_MS));
    }
}
