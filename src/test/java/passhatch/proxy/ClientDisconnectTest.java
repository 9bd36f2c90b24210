package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import passhatch.Balancer;
import passhatch.Logic;

/**
 * Tests that a request whose client has disconnected while it waited is not forwarded, wherever it
 * waited and however the client disconnected. Each test continues once the module has been
 * notified. From then on a server is available for all waiting requests, and one more request shows
 * that it is used.
 */
@Timeout(60)
final class ClientDisconnectTest {

    /** Ways in which a client disconnects. */
    enum Disconnect {
        FIN {
            @Override
            void perform(HttpConnection client) throws IOException {
                client.close();
            }
        },
        RESET {
            @Override
            void perform(HttpConnection client) throws IOException {
                client.reset();
            }
        },
        HALF_CLOSE {
            @Override
            void perform(HttpConnection client) throws IOException {
                client.socket.shutdownOutput();
            }
        };

        abstract void perform(HttpConnection client) throws IOException;
    }

    @TempDir Path folder;
    private Rig rig;
    private ScriptedServer server;

    /**
     * Ids of requests in the order in which the module received them; the next queue has those
     * whose clients disconnected.
     */
    private final BlockingQueue<String> requested = new LinkedBlockingQueue<>();

    private final BlockingQueue<String> disconnected = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> lists = new LinkedBlockingQueue<>();

    @BeforeEach
    void setUp() throws IOException {
        rig =
                new Rig(folder)
                        .balancerFactory(
                                (settings, seed, actions) ->
                                        recorded(new Logic(settings, seed, actions)));
        server = rig.backend((connection, request) -> connection.respond("200 OK", "served"));
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    private Balancer recorded(Balancer logic) {
        return (Balancer)
                Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {Balancer.class},
                        (self, method, args) -> {
                            Object result;
                            try {
                                result = method.invoke(logic, args);
                            } catch (InvocationTargetException thrown) {
                                throw thrown.getCause();
                            }
                            if (method.getName().equals("request")) {
                                requested.add(((Balancer.Request) args[1]).id());
                            } else if (method.getName().equals("clientGone")) {
                                disconnected.add((String) args[1]);
                            } else if (method.getName().equals("serversChanged")) {
                                lists.add(String.valueOf(args[2]));
                            }
                            return result;
                        });
    }

    private static void await(BlockingQueue<String> events, int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            assertNotNull(
                    events.poll(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS),
                    i + " of " + count);
        }
    }

    /**
     * Makes a server available for waiting requests, and asserts that it receives only the request
     * of a client that still waits.
     */
    private void assertNothingIsForwarded() throws Exception {
        lists.clear();
        rig.lines.add(Rig.list(9, true, Rig.entry("late", server.address(), "SERVING")));
        await(lists, 1);
        assertEquals("served", rig.send(Rig.get("stays", "")).text());
        assertEquals("stays", server.nextRequest().header("X-Request-Id"));
        assertEquals(0, server.received.size());
    }

    private void disconnectAndAssertNothingIsForwarded(
            HttpConnection client, Disconnect how, int requests) throws Exception {
        how.perform(client);
        await(disconnected, requests);
        assertNothingIsForwarded();
    }

    @ParameterizedTest
    @EnumSource
    void whileItsRequestIsQueuedInTheModule(Disconnect how) throws Exception {
        rig.start();
        HttpConnection client = rig.client();
        client.write(Rig.get("left", ""));
        await(requested, 1);
        disconnectAndAssertNothingIsForwarded(client, how, 1);
    }

    @ParameterizedTest
    @EnumSource
    void whileItsRequestWaitsBetweenTwoAttempts(Disconnect how) throws Exception {
        ScriptedServer full =
                rig.backend(
                        (connection, request) ->
                                connection.write(
                                        "HTTP/1.1 503 Busy\r\n"
                                                + "X-Not-Run: 1\r\n"
                                                + "Content-Length: 0\r\n\r\n"));
        rig.start(Rig.entry("full", full.address(), "SERVING"));
        HttpConnection client = rig.client();
        client.write(Rig.post("/move", "left", ""));
        full.nextRequest();
        disconnectAndAssertNothingIsForwarded(client, how, 1);
    }

    /**
     * Sends as many requests as are accepted from one connection at a time, and more behind them.
     */
    @ParameterizedTest
    @EnumSource
    void afterManyPipelinedRequests(Disconnect how) throws Exception {
        rig.start();
        HttpConnection client = rig.client();
        for (int i = 0; i < 4; i++) {
            client.write(Rig.get("left" + i, ""));
            await(requested, 1);
        }
        client.write(Rig.get("left4", "").repeat(20));
        disconnectAndAssertNothingIsForwarded(client, how, 4);
    }

    /**
     * The body exceeds the buffer limit, and the rest of it is not read by the request that waits
     * with it.
     */
    @ParameterizedTest
    @EnumSource
    void afterALongBody(Disconnect how) throws Exception {
        rig.start();
        HttpConnection client = rig.client();
        client.write(
                "POST /buy/1 HTTP/1.1\r\nHost: p\r\nX-Request-Id: left\r\nIdempotency-Key: k\r\n"
                        + "Content-Length: 110000\r\n\r\n"
                        + "x".repeat(110_000));
        await(requested, 1);
        disconnectAndAssertNothingIsForwarded(client, how, 1);
    }

    /**
     * The connection to the server is not established yet; once it is, nothing may be written to
     * it.
     */
    @ParameterizedTest
    @EnumSource
    void whileItsBackendConnectionIsBeingEstablished(Disconnect how) throws Exception {
        disconnectBeforeTheBackendConnects(true, how);
    }

    /** The same, with cancellation of attempts turned off. */
    @ParameterizedTest
    @EnumSource
    void whileItsBackendConnectionIsBeingEstablishedWithoutCancellation(Disconnect how)
            throws Exception {
        disconnectBeforeTheBackendConnects(false, how);
    }

    private void disconnectBeforeTheBackendConnects(boolean cancel, Disconnect how)
            throws Exception {
        try (ServerSocket late = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress at = (InetSocketAddress) late.getLocalSocketAddress();
            List<Socket> waiting = new ArrayList<>();
            try {
                // They fill the accept queue of the listener.
                waiting.add(new Socket(at.getAddress(), at.getPort()));
                waiting.add(new Socket(at.getAddress(), at.getPort()));
                rig.limit("cancel", cancel).start(Rig.entry("s", at, "SERVING"));
                HttpConnection client = rig.client();
                client.write(Rig.get("left", ""));
                await(requested, 1);
                how.perform(client);
                await(disconnected, 1);
                waiting.add(late.accept());
                waiting.add(late.accept());
                // Without cancellation the connection is established now, by the operating system's
                // retry one second later.
                if (!cancel) {
                    Socket up = late.accept();
                    waiting.add(up);
                    up.setSoTimeout(300);
                    assertFalse(receivesBytes(up), "the request was forwarded");
                }
                assertNothingIsForwarded();
            } finally {
                for (Socket socket : waiting) {
                    socket.close();
                }
            }
        }
    }

    private static boolean receivesBytes(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() >= 0;
        } catch (SocketTimeoutException silent) {
            return false;
        }
    }

    /** Many clients at once, which disconnect in different ways. */
    @Test
    void manyAtOnce() throws Exception {
        rig.start();
        List<HttpConnection> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            HttpConnection client = rig.client();
            client.write(Rig.get("left" + i, ""));
            clients.add(client);
        }
        await(requested, clients.size());
        for (int i = 0; i < clients.size(); i++) {
            Disconnect.values()[i % 3].perform(clients.get(i));
        }
        await(disconnected, clients.size());
        assertNothingIsForwarded();
    }
}
