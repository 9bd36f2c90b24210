package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.proxy.HttpConnection.Message;

/** Tests request and response bodies of all lengths and framings over loopback sockets. */
@Timeout(60)
final class BodiesTest {

    private static final int LONG_BODY_BYTES = 32_000_000;

    @TempDir Path folder;
    private Rig rig;

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder).control();
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    private static byte[] random(int size) {
        byte[] bytes = new byte[size];
        new Random(size).nextBytes(bytes);
        return bytes;
    }

    private static String post(String framing) {
        return "POST /move/1 HTTP/1.1\r\nHost: p\r\nX-Request-Id: r\r\n" + framing + "\r\n\r\n";
    }

    private Rig startWithBackend(ScriptedServer.Script script) throws Exception {
        ScriptedServer backend = rig.backend(script);
        return rig.start(Rig.entry("s", backend.address(), "SERVING"));
    }

    /** Reads byte by byte, so that the input after the marker stays unread. */
    private static void readUpTo(HttpConnection client, String end) throws IOException {
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith(end)) {
            read.append((char) client.socket.getInputStream().read());
        }
    }

    private static void respond(HttpConnection connection, byte[] body) throws IOException {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
        connection.write(body);
    }

    /**
     * A client that does not read stops the reading from the backend, and no data piles up in the
     * proxy.
     */
    @Test
    void aLongResponseIsThrottledByASlowClient() throws Exception {
        byte[] body = random(LONG_BODY_BYTES);
        AtomicLong sentBytes = new AtomicLong();
        startWithBackend(
                (connection, request) -> {
                    connection.write(
                            "HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n");
                    for (int at = 0; at < LONG_BODY_BYTES; at += 16_000) {
                        connection.write(
                                Arrays.copyOfRange(
                                        body, at, Math.min(LONG_BODY_BYTES, at + 16_000)));
                        sentBytes.addAndGet(16_000);
                    }
                });
        HttpConnection client = rig.client();
        client.write(Rig.get("r", ""));
        long before = -1;
        while (before != sentBytes.get() || before == 0) {
            before = sentBytes.get();
            Thread.sleep(300);
        }
        assertTrue(before < LONG_BODY_BYTES, "the whole response was read from the backend");
        rig.awaitMetric("inflight", 1);
        assertArrayEquals(body, client.read().body());
        rig.awaitMetric("success{tier=\"board\"}", 1);
        assertEquals(0, rig.metric("inflight"));
    }

    @Test
    void manyConcurrentLongResponsesAreComplete() throws Exception {
        byte[] body = random(4_000_000);
        startWithBackend((connection, request) -> respond(connection, body));
        HttpConnection[] clients = new HttpConnection[20];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = rig.client();
            clients[i].write(Rig.get("r" + i, ""));
        }
        for (HttpConnection client : clients) {
            assertArrayEquals(body, client.read().body());
        }
    }

    @Test
    void aLongRequestIsStreamed() throws Exception {
        byte[] body = random(LONG_BODY_BYTES);
        CountDownLatch headReceived = new CountDownLatch(1);
        BlockingQueue<byte[]> receivedBodies = new LinkedBlockingQueue<>();
        ScriptedServer backend =
                rig.backend(
                        (connection, request) -> {
                            receivedBodies.add(request.body());
                            connection.respond("200 OK", "done");
                        });
        backend.setHeadAction(headReceived::countDown);
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        HttpConnection client = rig.client();
        client.write(post("Content-Length: " + LONG_BODY_BYTES));
        client.write(Arrays.copyOf(body, 100_000));
        assertTrue(
                headReceived.await(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS),
                "the request was buffered until it was complete");
        assertEquals(
                0,
                rig.metric("inflight"),
                "a request counts as in flight only after its last byte");
        client.write(Arrays.copyOfRange(body, 100_000, LONG_BODY_BYTES));
        assertEquals("done", client.read().text());
        assertArrayEquals(body, receivedBodies.take());
        assertEquals(1, rig.metric("backend_calls"));
        client.write(Rig.get("next", ""));
        assertEquals("done", client.read().text());
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 200_000})
    void aChunkedRequestWithTrailersAndAnExpectationIsServed(int size) throws Exception {
        byte[] body = random(size);
        BlockingQueue<byte[]> receivedBodies = new LinkedBlockingQueue<>();
        startWithBackend(
                (connection, request) -> {
                    receivedBodies.add(request.body());
                    connection.respond("200 OK", "done");
                });
        HttpConnection client = rig.client();
        client.write(post("Transfer-Encoding: chunked\r\nExpect: 100-continue"));
        assertEquals(100, client.read().status());
        for (int at = 0; at < size; at += 50_000) {
            byte[] chunk = Arrays.copyOfRange(body, at, Math.min(size, at + 50_000));
            client.write(Integer.toHexString(chunk.length) + ";x=y\r\n");
            client.write(chunk);
            client.write("\r\n");
        }
        client.write("0\r\nX-Sum: 7\r\n\r\n");
        assertEquals("done", client.read().text());
        assertArrayEquals(body, receivedBodies.take());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                "Content-Length: -3\r\n\r\n",
                "Content-Length: 3x\r\n\r\nabc",
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
                "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
            })
    void malformedFramingIsRejectedAndTheConnectionClosed(String framing) throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", ""));
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        HttpConnection client = rig.client();
        client.write("POST /move/1 HTTP/1.1\r\nHost: p\r\nX-Request-Id: r\r\n" + framing);
        assertEquals(400, client.read().status());
        assertNull(client.read());
        assertTrue(backend.received.isEmpty());
    }

    /** The attempt is aborted, because the end of the request is unknown. */
    @Test
    void aMalformedChunkInAStreamedBodyEndsTheAttempt() throws Exception {
        CountDownLatch headReceived = new CountDownLatch(1);
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", ""));
        backend.setHeadAction(headReceived::countDown);
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        HttpConnection client = rig.client();
        client.write(post("Transfer-Encoding: chunked"));
        client.write("18000\r\n" + "x".repeat(0x18000) + "\r\n");
        headReceived.await();
        client.write("nonsense\r\n");
        assertEquals(400, client.read().status());
        backend.awaitConnectionEnd();
        assertTrue(backend.received.isEmpty());
        assertEquals(0, rig.metric("backend_calls"));
        assertEquals(0, rig.metric("inflight"));
    }

    @Test
    void aClientThatResetsDuringALongRequestEndsTheAttempt() throws Exception {
        CountDownLatch headReceived = new CountDownLatch(1);
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", ""));
        backend.setHeadAction(headReceived::countDown);
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        HttpConnection client = rig.client();
        client.write(post("Content-Length: 900000"));
        client.write(random(300_000));
        headReceived.await();
        client.reset();
        backend.awaitConnectionEnd();
        assertTrue(backend.received.isEmpty());
        assertEquals(0, rig.metric("backend_calls"));
    }

    /** Bytes that have been sent are not kept, so a retry would not be the same request. */
    @Test
    void aLongRequestIsNotRetriedThoughItsClassAllowsRetries() throws Exception {
        ScriptedServer backend = rig.backend((connection, request) -> connection.reset());
        ScriptedServer other = rig.backend((connection, request) -> connection.reset());
        rig.start(
                Rig.entry("s", backend.address(), "SERVING"),
                Rig.entry("t", other.address(), "SERVING"));
        HttpConnection client = rig.client();
        client.write(
                "POST /buy/1 HTTP/1.1\r\nHost: p\r\nX-Request-Id: r\r\nIdempotency-Key: k\r\n"
                        + "Content-Length: 200000\r\n\r\n");
        client.write(random(200_000));
        assertEquals(503, client.read().status());
        assertEquals(1, backend.received.size() + other.received.size());
    }

    /** A backend that is full responds before it has read the whole request. */
    @Test
    void aResponseThatPrecedesTheEndOfTheRequestIsForwarded() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        backend.respondAtHead("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        HttpConnection client = rig.client();
        client.write(post("Content-Length: 5000000"));
        client.write(random(100_000));
        assertEquals(503, client.read().status());
        client.write(random(4_900_000));
        client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
        assertEquals(200, client.read().status(), "the rest of the body must be read and dropped");
        assertEquals(0, rig.metric("backend_calls"));
    }

    @Test
    void aTruncatedResponseIsVisibleToTheClientAndCountsAsFailed() throws Exception {
        startWithBackend(
                (connection, request) -> {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n");
                    connection.write(random(200_000));
                    connection.close();
                });
        HttpConnection client = rig.client();
        client.write(Rig.get("r", ""));
        assertThrows(EOFException.class, client::read);
        rig.awaitMetric("failure{tier=\"board\"}", 1);
        assertEquals(0, rig.metric("inflight"));
        assertEquals(1, rig.metric("backend_calls"));
    }

    /**
     * The backend ends neither the response nor its connection. The client must still see a
     * failure, and nothing may stay open. That the proxy then closes the backend connection does
     * not complete a response without a length. Backends may pause for up to 25 s.
     */
    @Test
    void aResponseThatNeverEndsIsAborted() throws Exception {
        startWithBackend(
                (connection, request) ->
                        connection.write(
                                "HTTP/1.1 200 OK\r\n"
                                        + (request.startLine().contains("chunked")
                                                ? "Transfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n"
                                                : "\r\nbegun")));
        List<HttpConnection> clients = List.of(rig.client(), rig.client());
        clients.get(0).write(Rig.get("r0", "").replace("/board", "/board/chunked"));
        clients.get(1).write(Rig.get("r1", ""));
        long startNs = System.nanoTime();
        for (HttpConnection client : clients) {
            client.setTimeoutMs(31_000);
            assertThrows(EOFException.class, client::read);
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
            assertTrue(elapsedMs > 25_000 && elapsedMs < 31_000, "aborted after " + elapsedMs);
        }
        rig.awaitMetric("failure{tier=\"board\"}", 2);
        assertEquals(0, rig.metric("inflight"));
    }

    /** Only an orderly close by the peer ends a response without a length. */
    @Test
    void aResetInAResponseWithoutLengthIsVisibleToTheClient() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        startWithBackend(
                (connection, request) -> {
                    connection.write("HTTP/1.1 200 OK\r\n\r\nbegun");
                    seen.await();
                    connection.reset();
                });
        HttpConnection client = rig.client();
        client.write(Rig.get("r", ""));
        readUpTo(client, "begun\r\n");
        seen.countDown();
        assertEquals("", client.readAll(), "no empty chunk may end the response");
        rig.awaitMetric("failure{tier=\"board\"}", 1);
        assertEquals(0, rig.metric("inflight"));
    }

    /**
     * The timeout of a response that is known to be long covers only its first bytes. The bytes
     * that arrive in time here stay below the buffer limit.
     */
    @Test
    void aLongResponseThatStartsInTimeIsNotTimedOut() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        startWithBackend(
                (connection, request) -> {
                    connection.write(
                            "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
                                    + "b".repeat(50_000));
                    seen.await();
                    connection.write("e".repeat(50_000));
                });
        HttpConnection client = rig.client();
        client.setHeadListener(seen::countDown);
        client.write(Rig.get("r", "X-Deadline: 150m\r\n"));
        assertEquals("b".repeat(50_000) + "e".repeat(50_000), client.read().text());
    }

    /**
     * The declared length is wrong and makes a short response look long; nothing of it has been
     * forwarded yet.
     */
    @Test
    void aResponseThatIsTruncatedEarlyIsRetriedElsewhere() throws Exception {
        ScriptedServer.Script once =
                (connection, request) -> {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\nshort");
                    connection.close();
                };
        ScriptedServer broken = rig.backend(once);
        ScriptedServer good =
                rig.backend((connection, request) -> connection.respond("200 OK", "good"));
        rig.start(
                Rig.entry("s", broken.address(), "SERVING"),
                Rig.entry("t", good.address(), "SERVING"));
        for (int i = 0; broken.received.isEmpty(); i++) {
            assertEquals("good", rig.send(Rig.get("r" + i, "")).text());
        }
    }

    @Test
    void aClientThatDisconnectsDuringALongResponseEndsTheAttempt() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> respond(connection, random(LONG_BODY_BYTES)));
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        HttpConnection client = rig.client();
        client.write(Rig.get("r", ""));
        rig.awaitMetric("inflight", 1);
        client.reset();
        backend.awaitConnectionEnd();
        rig.awaitMetric("inflight", 0);
        assertEquals(0, rig.metric("success{tier=\"board\"}"));
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 300_000})
    void aResponseEndedByCloseOrInChunksIsComplete(int size) throws Exception {
        byte[] body = random(size);
        startWithBackend(
                (connection, request) -> {
                    connection.write("HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n");
                    if (request.header("X-Request-Id").equals("close")) {
                        connection.write("HTTP/1.1 200 OK\r\n\r\n");
                        connection.write(body);
                        connection.close();
                    } else {
                        connection.write(
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + Integer.toHexString(size)
                                        + "\r\n");
                        connection.write(body);
                        connection.write("\r\n0\r\nX-Sum: 7\r\n\r\n");
                    }
                });
        HttpConnection client = rig.client();
        for (String form : new String[] {"close", "chunks"}) {
            client.write(Rig.get(form, ""));
            assertArrayEquals(body, client.read().body());
        }
    }

    /** It may take long, so it is not buffered until it is complete. */
    @Test
    void aSlowResponseOfUnknownLengthIsStreamed() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        startWithBackend(
                (connection, request) -> {
                    connection.write(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
                    seen.await();
                    connection.write("1\r\nb\r\n0\r\n\r\n");
                });
        HttpConnection client = rig.client();
        client.write(Rig.get("r", ""));
        readUpTo(client, "\r\na\r\n");
        seen.countDown();
        byte[] rest = "1\r\nb\r\n0\r\n\r\n".getBytes(StandardCharsets.UTF_8);
        assertArrayEquals(rest, client.socket.getInputStream().readNBytes(rest.length));
    }

    @Test
    void longResponsesToPipelinedRequestsKeepTheirOrder() throws Exception {
        startWithBackend(
                (connection, request) -> {
                    if (request.header("X-Request-Id").equals("a")) {
                        Thread.sleep(300);
                    }
                    respond(
                            connection,
                            random(request.header("X-Request-Id").equals("a") ? 200_001 : 200_002));
                });
        HttpConnection client = rig.client();
        client.write(Rig.get("a", "") + Rig.get("b", ""));
        assertArrayEquals(random(200_001), client.read().body());
        assertArrayEquals(random(200_002), client.read().body());
    }

    /** A slow client has 2 s for its head, even if it sends single bytes. */
    @Test
    void aHeadSentOverTwoSecondsIsAccepted() throws Exception {
        startWithBackend((connection, request) -> connection.respond("200 OK", "x"));
        HttpConnection client = rig.client();
        String head = Rig.get("r", "");
        for (int i = 0; i < head.length(); i++) {
            client.write(head.substring(i, i + 1));
            Thread.sleep(2_000 / head.length());
        }
        Message response = client.read();
        assertEquals("x", response.text());
    }

    /**
     * A body that arrives more slowly than 64 kB a second: its connection is closed, not waited
     * for.
     */
    @Test
    void aConnectionWhoseBodyStallsIsClosed() throws Exception {
        startWithBackend((connection, request) -> connection.respond("200 OK", "x"));
        HttpConnection client = rig.client();
        client.write(post("Content-Length: 900000"));
        client.write(new byte[1_000]);
        long start = System.nanoTime();
        assertNull(client.read());
        assertTrue(System.nanoTime() - start < 3_000_000_000L);
    }
}
