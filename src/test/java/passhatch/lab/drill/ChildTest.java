package passhatch.lab.drill;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ChildTest {

    private static final int PATIENCE_MS = 20_000;

    @TempDir private Path folder;

    private Child child(String script) throws Exception {
        Child child =
                new Child(
                        "c",
                        List.of("/bin/sh", "-c", script),
                        Map.of("WORD", "hello"),
                        folder.resolve("log"));
        child.start();
        long endNs = System.nanoTime() + PATIENCE_MS * 1_000_000L;
        while (!child.logEnd().contains("hello")) {
            assertTrue(System.nanoTime() < endNs, "it never began");
            Thread.sleep(5);
        }
        return child;
    }

    /**
     * Ignored signals stay ignored over exec, so the process itself is the one that does not end.
     */
    @Test
    void oneThatIgnoresTheOrderToEndIsKilledAfterThePatience() throws Exception {
        Child child = child("trap '' TERM; echo $WORD; exec sleep 60");
        assertTrue(child.signal("TERM"));
        assertFalse(child.awaitEnd(100));
        child.end(100);
        assertFalse(child.alive());
        assertFalse(child.signal("TERM"), "there is nobody to tell");
    }

    @Test
    void oneThatIsHeldEndsAsWell() throws Exception {
        Child child = child("echo $WORD; exec sleep 60");
        assertTrue(child.signal("STOP"));
        child.end(PATIENCE_MS);
        assertFalse(child.alive());
        child.start();
        assertTrue(child.alive());
        child.endNow();
        assertTrue(child.awaitEnd(PATIENCE_MS));
    }
}
