package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The rehearsal run by the build to make starts faster, and starts without its archive. */
@Timeout(60)
final class RehearsalTest {

    @TempDir Path folder;

    @Test
    void completesItsRequests() throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        Rehearsal.run(new PrintStream(log, true, StandardCharsets.UTF_8));
        assertTrue(
                log.toString(StandardCharsets.UTF_8).contains("ending with 0 requests unanswered"));
    }

    /** Returns the flags that the script passes to java for a proxy with this memory. */
    private String flags(int memoryMb, String control, boolean archive) throws Exception {
        return outputOf(memoryMb, control, archive, "echo \"$@\"", "exec \"$@\"");
    }

    /**
     * Returns the output of a program run in place of java, when the script is started by a shell
     * with these commands.
     */
    private String outputOf(
            int memoryMb, String control, boolean archive, String program, String starter)
            throws Exception {
        Path java = folder.resolve("java");
        Files.writeString(java, "#!/bin/sh\n" + program + "\n");
        assertTrue(java.toFile().setExecutable(true));
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"n\",\n \"limits\":{\"cores\":1.0,\"memory_mb\": "
                        + memoryMb
                        + ",\"sockets\":9}"
                        + (control.equals("file") ? ",\"control\":\"127.0.0.1:9\"" : "")
                        + "}");
        Files.createDirectories(folder.resolve("target"));
        if (archive) {
            Files.writeString(folder.resolve("target/passhatch.jsa"), "");
        }
        String script = Path.of("deploy/serve.sh").toAbsolutePath().toString();
        ProcessBuilder shell =
                new ProcessBuilder("/bin/sh", "-c", starter, "sh", "/bin/sh", script)
                        .directory(folder.toFile());
        // No other program can be found, as in a deployment that forbids child processes.
        shell.environment().clear();
        shell.environment().put("PATH", folder.toString());
        shell.environment().put("PROXY_CONFIG", config.toString());
        if (control.equals("variable")) {
            shell.environment().put("PROXY_CONTROL", "127.0.0.1:9");
        }
        Process process = shell.redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(0, process.exitValue(), output);
        return output;
    }

    @Test
    void theHeapFollowsTheConfiguredMemoryAndTwoProcessesShareIt() throws Exception {
        assertTrue(flags(144, "variable", false).contains("-Xmx48m "));
        assertTrue(
                flags(208, "variable", false).contains("-Xmx34m "),
                "two processes share the memory");
        assertTrue(
                flags(208, "file", false).contains("-Xmx34m "), "two processes share the memory");
        assertTrue(flags(208, "", false).contains("-Xmx48m "), "there is never a second process");
        assertTrue(flags(72, "variable", false).contains("-Xmx24m "));
    }

    /**
     * A JVM leaves SIGHUP ignored if it is so at its start, and then no new configuration is read.
     */
    @Test
    void theJvmStartsWithSighupNotIgnoredThoughTheParentIgnoresIt() throws Exception {
        String program =
                "while read -r field value; do"
                        + " [ \"$field\" = SigIgn: ] && echo \"$value\";"
                        + " done < /proc/self/status; exit 0";
        String ignored =
                outputOf(144, "variable", false, program, "trap '' HUP; exec \"$@\"").strip();
        assertEquals(0, Long.parseUnsignedLong(ignored, 16) & 1, ignored);
    }

    @Test
    void theArchiveIsUsedOnlyIfItExists() throws Exception {
        assertFalse(flags(144, "variable", false).contains("SharedArchiveFile"));
        assertTrue(
                flags(144, "variable", true)
                        .contains(" -XX:SharedArchiveFile=target/passhatch.jsa "));
        assertEquals(
                List.of("-jar", "target/passhatch.jar", "serve"),
                List.of(
                        flags(144, "variable", true)
                                .strip()
                                .replaceAll(".* (?=-jar)", "")
                                .split(" ")));
    }
}
