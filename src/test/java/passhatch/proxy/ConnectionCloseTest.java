package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
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
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.Balancer;

/**
 * Tests input that arrives at the moment at which the proxy closes a connection. The earlier
 * response must arrive, the client must see an orderly close and no reset, and nothing of the input
 * may be forwarded.
 */
@Timeout(60)
final class ConnectionCloseTest {

    private static final String CLOSE = "Connection: close\r\n";

    /**
     * Short enough to be buffered completely, and longer than the operating system accepts for a
     * client with a small receive buffer.
     */
    private static final String LONG_BODY = "x".repeat(60_000);

    @TempDir Path folder;
    private Rig rig;
    private final CountDownLatch served = new CountDownLatch(1);
    private final List<String> requested = Collections.synchronizedList(new ArrayList<>());

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    /**
     * Starts a proxy whose module serves the request "before" and refuses all others at once. The
     * given action runs on the event loop before the request with the given id is refused: input
     * that arrives meanwhile has not been read.
     */
    private void startWithScriptedModule(String id, Runnable beforeRefusal) throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", LONG_BODY));
        rig.balancerFactory(
                        (settings, seed, actions) ->
                                Rig.scriptedBalancer(
                                        (method, args) -> {
                                            if (method.equals("outcome")) {
                                                served.countDown();
                                            } else if (method.equals("request")) {
                                                String requestId =
                                                        ((Balancer.Request) args[1]).id();
                                                requested.add(requestId);
                                                if (requestId.equals("before")) {
                                                    actions.send(requestId, "s", 0);
                                                    return;
                                                }
                                                if (requestId.equals(id)) {
                                                    beforeRefusal.run();
                                                }
                                                actions.refuse(requestId, 0);
                                            }
                                        }))
                .start(Rig.entry("s", backend.address(), "SERVING"));
    }

    /**
     * Returns a client that has not read its response yet: a reset would destroy the response on
     * its way.
     */
    private HttpConnection clientWithAnUnreadResponse() throws Exception {
        HttpConnection client = HttpConnection.withSmallReceiveBuffer(rig.proxy().address());
        client.write(Rig.get("before", "X-Deadline: 9000m\r\n"));
        served.await();
        return client;
    }

    /**
     * Waits some iterations of the event loop, after which a closed socket has been released to the
     * operating system.
     */
    private void awaitLoopIterations() throws InterruptedException {
        for (int iterations = 0; iterations < 3; iterations++) {
            rig.proxy().awaitSubmittedTasks();
        }
    }

    /** Reads the outstanding response after the proxy has done everything with its connection. */
    private void assertUnreadResponseArrives(HttpConnection client) throws Exception {
        awaitLoopIterations();
        assertEquals(LONG_BODY, client.read().text());
    }

    private static void write(HttpConnection client, String text) {
        try {
            client.write(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String extraInput(String what) {
        return switch (what) {
            case "a request" -> Rig.get("behind", "");
            case "half a head" -> "GET /board/7 HTTP/1.1\r\nX-Req";
            default -> "x".repeat(60_000);
        };
    }

    @ParameterizedTest
    @ValueSource(strings = {"a request", "half a head", "nonsense"})
    void bytesAfterTheLastRequest(String what) throws Exception {
        BlockingQueue<HttpConnection> clients = new LinkedBlockingQueue<>();
        CountDownLatch crossed = new CountDownLatch(1);
        startWithScriptedModule(
                "last",
                () -> {
                    write(clients.remove(), extraInput(what));
                    crossed.countDown();
                });
        try (HttpConnection client = clientWithAnUnreadResponse()) {
            clients.add(client);
            client.write(Rig.get("last", CLOSE));
            crossed.await();
            assertUnreadResponseArrives(client);
            assertEquals(503, client.read().status());
            assertNull(client.read());
        }
        assertEquals(List.of("before", "last"), requested);
    }

    /**
     * Sending the last response takes long, as its client reads slowly; requests behind it are not
     * accepted.
     */
    @Test
    void aRequestWhileTheLastResponseIsWritten() throws Exception {
        CountDownLatch written = new CountDownLatch(1);
        ScriptedServer backend =
                rig.backend(
                        (connection, request) -> {
                            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n");
                            connection.write("x".repeat(8_000_000));
                        });
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        HttpConnection client = rig.client();
        client.setHeadListener(
                () -> {
                    client.write(Rig.get("behind", ""));
                    written.countDown();
                });
        client.write(Rig.get("last", CLOSE));
        assertEquals(8_000_000, client.read().body().length);
        assertEquals(0, written.getCount());
        assertNull(client.read());
        assertEquals(1, backend.received.size());
    }

    /**
     * The request arrives when the process closes idle connections at shutdown, and is not read
     * before that.
     */
    @Test
    void aRequestOnAnIdleConnectionAtShutdown() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        rig.deadlineUs(200_000);
        startWithScriptedModule(
                "held",
                () -> {
                    blocked.countDown();
                    // Longer than a process with short deadlines continues to serve.
                    LockSupport.parkNanos(
                            ShutdownSchedule.of(200).closeClientsMs() * 1_000_000 + 50_000_000);
                });
        try (HttpConnection idle = clientWithAnUnreadResponse()) {
            HttpConnection blocking = rig.client();
            rig.proxy().shutDown();
            rig.proxy().awaitSubmittedTasks();
            blocking.write(Rig.get("held", ""));
            blocked.await();
            idle.write(Rig.get("crossing", ""));
            assertEquals(503, blocking.read().status());
            assertUnreadResponseArrives(idle);
            assertNull(idle.read());
        }
        assertTrue(rig.proxy().awaitTermination(HttpConnection.TIMEOUT_MS));
        assertEquals(List.of("before", "held"), requested);
    }

    /** The proxy does not wait long for a client that does not close its side. */
    @Test
    void aClientThatKeepsItsSideOpenIsClosed() throws Exception {
        startWithScriptedModule("last", () -> {});
        HttpConnection client = rig.client();
        client.write(Rig.get("last", CLOSE));
        assertEquals(503, client.read().status());
        assertNull(client.read());
        assertEquals(
                "",
                rig.unreleasedResources(),
                "the proxy must not wait for a client that keeps its side open");
    }

    /** The reply to an operator arrives even if more than the one line was sent. */
    @Test
    void bytesAfterAnOperatorCall() throws Exception {
        rig.control().safeClass("c".repeat(50_000)).start();
        try (HttpConnection operator =
                HttpConnection.withSmallReceiveBuffer(rig.proxy().controlAddress())) {
            operator.write("vars\n" + "x".repeat(60_000));
            awaitLoopIterations();
            String text = operator.readAll();
            assertTrue(text.endsWith("end\n"), () -> text.length() + " characters");
        }
    }
}
