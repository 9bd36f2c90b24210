package passhatch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import passhatch.store.Entry;
import passhatch.store.FolderDisk;
import passhatch.store.RecordLog;

class StoreCommandTest {

    @TempDir private Path folder;
    private String out;
    private String err;

    private int run(String... args) {
        StringWriter outs = new StringWriter();
        StringWriter errs = new StringWriter();
        int status =
                Commands.commandLine()
                        .setOut(new PrintWriter(outs))
                        .setErr(new PrintWriter(errs))
                        .execute(args);
        out = outs.toString();
        err = errs.toString();
        return status;
    }

    @Test
    void verifiesDumpsAndSalvages() throws Exception {
        Path store = folder.resolve("store");
        try (RecordLog log = RecordLog.open(FolderDisk.open(store), "me", e -> {})) {
            log.append(List.of(new Entry(7, new byte[] {1, 2, 3}), new Entry(8, new byte[] {4})));
            assertEquals(1, run("store", "verify", store.toString()));
            assertTrue(err.contains("in use by another process"), err);
        }
        assertEquals(0, run("store", "verify", store.toString()));
        assertTrue(out.contains("2 records, the last is 2, epoch 1"), out);
        assertEquals(0, run("store", "dump", store.toString()));
        assertEquals("{\"kind\":7,\"bytes\":\"AQID\"}", out.lines().findFirst().orElse(""));

        Path segment = store.resolve("segment-0000000000000001");
        byte[] bytes = Files.readAllBytes(segment);
        bytes[bytes.length - 37] ^= 1;
        Files.write(segment, bytes);
        assertEquals(1, run("store", "verify", store.toString()));
        assertTrue(out.contains("DAMAGED: segment-0000000000000001, byte "), out);
        Path to = folder.resolve("to");
        assertEquals(1, run("store", "salvage", "--owner", "me", store.toString(), to.toString()));
        assertEquals(0, run("store", "verify", to.toString()));
        assertTrue(out.contains("1 records"), out);
        assertEquals(2, run("store", "salvage", "--owner", "me", store.toString(), to.toString()));
        assertEquals(2, run("store", "verify", folder.resolve("none").toString()));
    }
}
