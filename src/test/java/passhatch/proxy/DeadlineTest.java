package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.proxy.Rig.scriptedBalancer;
import static passhatch.proxy.Rig.up;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import passhatch.Balancer;
import passhatch.proxy.HttpConnection.Message;

/** Each request gets its response before its deadline, which includes the time of stalls. */
@Timeout(60)
final class DeadlineTest {

    @TempDir Path folder;
    private Rig rig;

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    @Test
    void respondsOnceBeforeTheDeadlineAndCancelsTheAttempt() throws Exception {
        ScriptedServer backend =
                rig.backend(
                        (connection, request) -> {
                            if (request.header("X-Request-Id").equals("slow")) {
                                connection.socket.getInputStream().read();
                            } else {
                                connection.respond("200 OK", "quick");
                            }
                        });
        rig.start(up("s", backend));
        HttpConnection client = rig.client();
        long start = System.nanoTime();
        client.write(Rig.post("/move", "slow", "X-Deadline: 1500m\r\n"));
        Message response = client.read();
        assertTrue((System.nanoTime() - start) / 1_000_000 < 1500);
        assertEquals(
                502,
                response.status(),
                "an unsafe request that may have run is failed, not refused");
        backend.awaitConnectionEnd();
        client.write(Rig.get("next", ""));
        assertEquals(
                "quick",
                client.read().text(),
                "a second response was written for the first request");
    }

    @Test
    void respondsItselfJustInTimeIfTheModuleDoesNot() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        rig.balancerFactory(
                        (settings, seed, actions) ->
                                scriptedBalancer(
                                        (method, args) -> {
                                            if (args[args.length - 1] instanceof Balancer.Request r
                                                    && r.id().equals("sent")) {
                                                actions.send(r.id(), "s", 0);
                                            }
                                        }))
                .start(up("s", backend));
        long start = System.nanoTime();
        assertEquals(502, rig.send(Rig.post("/move", "sent", "X-Deadline: 900m\r\n")).status());
        assertTrue((System.nanoTime() - start) / 1_000_000 < 900);
        assertEquals(
                503, rig.send(Rig.post("/move/held", "held", "X-Deadline: 300m\r\n")).status());
    }

    /**
     * After a stall of 0.9 s, another one of the same length would delay a response by more than
     * its client accepts.
     */
    @Test
    void requestsAfterALongStallAreDueSooner() throws Exception {
        BlockingQueue<Long> left = new LinkedBlockingQueue<>();
        rig.balancerFactory(
                        (settings, seed, actions) ->
                                scriptedBalancer(
                                        (method, args) -> {
                                            if (args[args.length - 1]
                                                    instanceof Balancer.Request r) {
                                                if (r.id().equals("held")) {
                                                    LockSupport.parkNanos(900_000_000);
                                                }
                                                left.add(r.timeLeftUs());
                                                actions.refuse(r.id(), 0);
                                            }
                                        }))
                .start();
        String deadlineHeader = "X-Deadline: 4000m\r\n";
        rig.send(Rig.get("before", deadlineHeader));
        rig.send(Rig.get("held", deadlineHeader));
        // Until some ticks have passed, the request may have been unread for as long, which is
        // tested elsewhere.
        Thread.sleep(200);
        rig.send(Rig.get("after", deadlineHeader));
        assertTrue(left.take() > 3_800_000, "a stall was measured before there was one");
        left.take();
        long leftAfterUs = left.take();
        assertTrue(leftAfterUs < 3_600_000 && leftAfterUs > 2_500_000, leftAfterUs + " us left");
    }

    /** The time kept back for the response must not be a third of a short deadline. */
    @ParameterizedTest
    @CsvSource({"8, 6000", "60, 50000", "400, 370000"})
    void keepsBackOnlyASmallPartOfAShortDeadline(int deadlineMs, long minLeftUs) throws Exception {
        BlockingQueue<Long> left = new LinkedBlockingQueue<>();
        rig.balancerFactory(
                        (settings, seed, actions) ->
                                scriptedBalancer(
                                        (method, args) -> {
                                            if (args[args.length - 1]
                                                    instanceof Balancer.Request r) {
                                                left.add(r.timeLeftUs());
                                                actions.refuse(r.id(), 0);
                                            }
                                        }))
                .start();
        // A stall of the test machine shortens the time of one request, not of each.
        long maxLeftUs = 0;
        for (int i = 0; i < 50 && maxLeftUs < minLeftUs; i++) {
            rig.send(Rig.get("r" + i, "X-Deadline: " + deadlineMs + "m\r\n"));
            maxLeftUs = Math.max(maxLeftUs, left.take());
        }
        assertTrue(maxLeftUs >= minLeftUs, maxLeftUs + " us left of " + deadlineMs + " ms");
    }

    /** The time of a request includes a stall during which the event loop reads nothing. */
    @Test
    void theTimeThatARequestWasUnreadIsSubtracted() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        CountDownLatch stalled = new CountDownLatch(1);
        BlockingQueue<Long> left = new LinkedBlockingQueue<>();
        rig.balancerFactory(
                        (settings, seed, actions) ->
                                scriptedBalancer(
                                        (method, args) -> {
                                            if (args[args.length - 1]
                                                    instanceof Balancer.Request r) {
                                                if (r.id().equals("first")) {
                                                    stalled.countDown();
                                                    LockSupport.parkNanos(400_000_000);
                                                } else {
                                                    left.add(r.timeLeftUs());
                                                }
                                                actions.refuse(r.id(), 0);
                                            }
                                        }))
                .start(up("s", backend));
        HttpConnection first = rig.client();
        HttpConnection second = rig.client();
        first.write(Rig.get("first", ""));
        stalled.await();
        second.write(Rig.get("second", "X-Deadline: 5000m\r\n"));
        assertEquals(503, second.read().status());
        assertTrue(left.take() < 4_800_000);
    }

    /**
     * Guards against a long request that gets no response in time, because its time started only
     * when the proxy had read its last byte, which had waited in the system's buffers.
     */
    @Test
    void theTimeOfALongRequestRunsWhileItsBytesWaitUnread() throws Exception {
        rig.balancerFactory(
                        (settings, seed, actions) -> scriptedBalancer((method, arguments) -> {}))
                .start();
        HttpConnection client = rig.client();
        client.write(longPost("unread", 300_000));
        long writtenNs = System.nanoTime();
        assertEquals(503, client.read().status());
        assertTrue(millisSince(writtenNs) < 1_500, millisSince(writtenNs) + " ms");
    }

    /**
     * Guards against requests that are late because they wait unread behind the rest of a long body
     * whose request was refused.
     */
    @Test
    void aRequestThatIsRefusedBeforeItsBodyIsReadClosesItsConnection() throws Exception {
        rig.balancerFactory(
                        (settings, seed, actions) -> scriptedBalancer((method, arguments) -> {}))
                .start();
        HttpConnection client = rig.client();
        client.write(longPost("refused", 300_000));
        Message response = client.read();
        assertEquals(503, response.status());
        assertEquals("close", response.header("Connection"));
        assertNull(client.read(), "the end of the connection");
    }

    /** The same while the body is streamed, more slowly than the client has written it. */
    @Test
    void theTimeOfALongRequestRunsWhileItsBackendReadsSlowly() throws Exception {
        try (SlowReader backend = new SlowReader(1_000_000)) {
            rig.start(Rig.entry("s", backend.address(), "SERVING"));
            HttpConnection client = rig.client();
            client.write(longPost("streamed", 8_000_000));
            long writtenNs = System.nanoTime();
            assertEquals(503, client.read().status(), "an incomplete request has not run");
            assertTrue(millisSince(writtenNs) < 1_500, millisSince(writtenNs) + " ms");
        }
    }

    /** A client that still sends is not held to the time that starts with its last byte. */
    @Test
    void theTimeOfALongRequestDoesNotRunWhileItsClientStillSends() throws Exception {
        rig.start(up("s", ScriptedServer.respondingWith("done")));
        HttpConnection client = rig.client();
        byte[] request = longPost("sending", 300_000);
        int part = request.length / 25;
        for (int at = 0; at < request.length; at += part) {
            client.write(Arrays.copyOfRange(request, at, Math.min(request.length, at + part)));
            Thread.sleep(100);
        }
        assertEquals("done", client.read().text());
    }

    private static long millisSince(long startNs) {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    /** Returns a request with a deadline of one second. */
    private static byte[] longPost(String id, int bodyBytes) {
        String head =
                "POST /move/1 HTTP/1.1\r\nHost: p\r\nX-Request-Id: "
                        + id
                        + "\r\nX-Deadline: 1000m\r\nContent-Length: "
                        + bodyBytes
                        + "\r\n\r\n";
        byte[] start = head.getBytes(StandardCharsets.US_ASCII);
        return Arrays.copyOf(start, start.length + bodyBytes);
    }

    /** A backend that reads each connection at a limited rate and never responds. */
    private static final class SlowReader implements Closeable {
        private static final int READS_PER_SECOND = 50;

        private final ServerSocket listener;
        private final int readBytes;

        SlowReader(int bytesPerSecond) throws IOException {
            readBytes = bytesPerSecond / READS_PER_SECOND;
            listener = new ServerSocket();
            listener.setReceiveBufferSize(readBytes);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            ScriptedServer.startDaemon(this::serve);
        }

        InetSocketAddress address() {
            return (InetSocketAddress) listener.getLocalSocketAddress();
        }

        private void serve() {
            try (Socket connection = listener.accept()) {
                while (connection.getInputStream().readNBytes(readBytes).length == readBytes) {
                    LockSupport.parkNanos(1_000_000_000 / READS_PER_SECOND);
                }
            } catch (IOException closed) {
                // The test has ended, or the proxy has given up the request.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }
}
