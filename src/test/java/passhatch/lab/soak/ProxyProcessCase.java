package passhatch.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import passhatch.lab.drill.ChildProcess;

/** Starts one real proxy process of the packaged program for a test. */
abstract class ProxyProcessCase {

    private static final Path JAR = Path.of("target/passhatch.jar").toAbsolutePath();
    static final int DESCRIPTORS = 1_024;

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
}
