package passhatch.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import passhatch.lab.drill.ChildProcess;

/** Starts one real proxy process of the packaged program for a test. */
abstract class ProxyProcessCase {

    private static final Path JAR = Path.of("target/passhatch.jar").toAbsolutePath();
    static final int DESCRIPTORS = 1_024;
    private static final long STOP_TIMEOUT_MS = 5_000;

    /** The state of a stopped thread in its {@code stat} file, after the thread's name. */
    private static final Pattern STOPPED = Pattern.compile("\\) T ");

    @TempDir private Path folder;
    ProxyTestbed testbed;

    void startProxy(int memoryMb) throws Exception {
        testbed = new ProxyTestbed(JAR, folder, new ProxyTestbed.Limits(memoryMb, DESCRIPTORS), 1);
    }

    void startProxyWithUnreadLog(int memoryMb) throws Exception {
        testbed =
                new ProxyTestbed(
                        JAR,
                        folder,
                        new ProxyTestbed.Limits(memoryMb, DESCRIPTORS),
                        1,
                        ChildProcess::leaveLogUnread);
    }

    @AfterEach
    void stopProxy() throws IOException {
        if (testbed != null) {
            testbed.close();
            assertFalse(testbed.process().isAlive(), "a process was left behind");
        }
    }

    static long nanosFromNow(long ms) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    void assertAlive() {
        assertTrue(testbed.process().isAlive(), () -> "ended: " + testbed.process().logTail());
        assertFalse(testbed.process().log().contains("OutOf"), () -> testbed.process().logTail());
    }

    void assertNoViolation() {
        assertEquals(List.of(), RuleChecker.check(testbed.records));
    }

    /** Asserts that each request got a backend's whole response within its client's time. */
    void assertAllServed(List<ClientRequest> requests) {
        List<String> notServed =
                requests.stream()
                        .filter(request -> !request.servedInTime())
                        .map(
                                request ->
                                        request.id
                                                + ": "
                                                + request.status
                                                + " after "
                                                + (request.answeredNs - request.sentNs) / 1_000_000
                                                + " ms")
                        .toList();
        assertEquals(
                0,
                notServed.size(),
                () ->
                        "of "
                                + requests.size()
                                + ": "
                                + notServed
                                + "; the proxy's log:\n"
                                + testbed.process().logTail());
    }

    /**
     * Suspends the process and waits until none of its threads runs any more: the signal takes
     * effect some time after it was sent, and a thread that still runs may handle a request
     * meanwhile.
     */
    void suspendProcess() throws IOException, InterruptedException {
        assertTrue(testbed.process().signal("STOP"));
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_TIMEOUT_MS);
        while (!allThreadsStopped()) {
            assertTrue(System.nanoTime() < endNs, "the process was not suspended");
            Thread.sleep(1);
        }
    }

    private boolean allThreadsStopped() throws IOException {
        Path threads = Path.of("/proc", Long.toString(testbed.process().pid()), "task");
        try (Stream<Path> entries = Files.list(threads)) {
            for (Path thread : entries.toList()) {
                if (!STOPPED.matcher(Files.readString(thread.resolve("stat"))).find()) {
                    return false;
                }
            }
        }
        return true;
    }
}
