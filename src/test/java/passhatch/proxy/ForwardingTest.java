package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.proxy.Rig.scriptedBalancer;
import static passhatch.proxy.Rig.up;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import passhatch.Balancer;
import passhatch.Balancer.Outcome;
import passhatch.proxy.HttpConnection.Message;
import passhatch.proxy.discovery.EndpointList;
import passhatch.proxy.discovery.ListWatch;

/** Tests that requests are forwarded to backends unchanged, and retried only if that is safe. */
@Timeout(60)
final class ForwardingTest {

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
    void forwardsRequestAndBodyUnchanged() throws Exception {
        byte[] body = new byte[60_000];
        new Random(5).nextBytes(body);
        ScriptedServer backend =
                rig.backend(
                        (connection, request) -> {
                            connection.write(
                                    "HTTP/1.1 200 OK\r\nContent-Length: "
                                            + request.body().length
                                            + "\r\n\r\n");
                            connection.write(request.body());
                        });
        rig.start(up("s", backend));
        HttpConnection client = rig.client();
        client.write(
                "POST /buy/3?q=%20a HTTP/1.1\r\n"
                        + "Host: p\r\n"
                        + "X-Request-Id: r1\r\n"
                        + "Idempotency-Key: k9\r\n"
                        + "X-Tenant: acme\r\n"
                        + "X-Deadline: 8000m\r\n"
                        + "Content-Length: "
                        + body.length
                        + "\r\n\r\n");
        client.write(body);
        Message response = client.read();
        assertEquals(200, response.status());
        assertArrayEquals(body, response.body());
        Message sent = backend.nextRequest();
        assertEquals("POST /buy/3?q=%20a HTTP/1.1", sent.startLine());
        assertArrayEquals(body, sent.body());
        assertEquals("r1", sent.header("X-Request-Id"));
        assertEquals("k9", sent.header("Idempotency-Key"));
        long deadlineUs = Long.parseLong(sent.header("X-Deadline").replace("u", ""));
        assertTrue(deadlineUs > 0 && deadlineUs < 8_000_000, sent.header("X-Deadline"));
    }

    @Test
    void refusesWithRetryAfterIfNothingRan() throws Exception {
        ScriptedServer full =
                rig.backend(
                        (connection, request) ->
                                connection.write(
                                        "HTTP/1.1 503 Busy\r\n"
                                                + "X-Not-Run: 1\r\n"
                                                + "Content-Length: 0\r\n\r\n"));
        rig.aimUs(300_000).start(up("s", full));
        Message response = rig.send(Rig.post("/move", "r", "X-Deadline: 9000m\r\n"));
        assertEquals(503, response.status());
        assertEquals("2", response.header("Retry-After"));
    }

    @Test
    void anUnsafeRequestIsNotRetriedAfterAReset() throws Exception {
        ScriptedServer.Script breaks = (connection, request) -> connection.reset();
        ScriptedServer a = rig.backend(breaks);
        ScriptedServer b = rig.backend(breaks);
        rig.start(up("a", a), up("b", b));
        assertEquals(502, rig.send(Rig.post("/move", "r", "")).status());
        assertEquals(1, a.received.size() + b.received.size());
    }

    @Test
    void anUnsafeRequestIsRetriedIfItDidNotRun() throws Exception {
        ScriptedServer.Script once =
                (connection, request) -> {
                    if (request.header("X-Request-Id").equals("r")) {
                        connection.write(
                                "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
                    }
                };
        ScriptedServer good = ScriptedServer.respondingWith("done");
        ScriptedServer full = rig.backend(once);
        try (good) {
            rig.start(up("full", full));
            HttpConnection client = rig.client();
            client.write(Rig.post("/move", "r", ""));
            full.nextRequest();
            rig.lines.add(Rig.list(9, false, up("good", good)));
            assertEquals("done", client.read().text());
        }
    }

    /**
     * The module retries in time, but the connection is established after the server has forgotten
     * the key.
     */
    @Test
    void aKeyedRetryIsNotWrittenAfterTheDedupWindow() throws Exception {
        ScriptedServer first = rig.backend((connection, request) -> connection.reset());
        BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
        try (ServerSocket late = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress at = (InetSocketAddress) late.getLocalSocketAddress();
            rig.dedupWindowUs(300_000)
                    .balancerFactory(
                            (settings, seed, actions) ->
                                    scriptedBalancer(
                                            (method, args) -> {
                                                if (method.equals("request")) {
                                                    actions.send(
                                                            ((Balancer.Request) args[1]).id(),
                                                            "first",
                                                            0);
                                                } else if (method.equals("outcome")) {
                                                    outcomes.add((Outcome) args[4]);
                                                    if (args[4] == Outcome.RESET) {
                                                        actions.send((String) args[1], "late", 0);
                                                    } else {
                                                        actions.fail((String) args[1]);
                                                    }
                                                }
                                            }))
                    .start(up("first", first), Rig.entry("late", at, "SERVING"));
            try (Socket a = new Socket(at.getAddress(), at.getPort());
                    Socket b = new Socket(at.getAddress(), at.getPort());
                    HttpConnection client = rig.client()) {
                client.write(Rig.post("/buy/1", "r", "Idempotency-Key: k\r\n"));
                assertEquals(
                        Outcome.RESET,
                        outcomes.poll(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                assertTrue(a.isConnected() && b.isConnected());
                // However late this runs, it is after the window. No connection is established
                // earlier, because the accept queue is full.
                Thread.sleep(400);
                late.accept().close();
                late.accept().close();
                try (Socket repeat = late.accept()) {
                    assertEquals(502, client.read().status());
                    assertEquals(
                            Outcome.NOT_SENT,
                            outcomes.poll(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                    assertEquals(0, repeat.getInputStream().available());
                }
            }
        }
    }

    /** Whatever the module throws, its request gets a response and later requests are decided. */
    @Test
    void continuesAfterAnErrorInTheModule() throws Exception {
        rig.balancerFactory(
                        (settings, seed, actions) ->
                                scriptedBalancer(
                                        (method, args) -> {
                                            if (method.equals("request")) {
                                                String id = ((Balancer.Request) args[1]).id();
                                                if (id.equals("bad")) {
                                                    throw new StackOverflowError("a bug");
                                                }
                                                actions.refuse(id, 0);
                                            }
                                        }))
                .start();
        assertEquals(502, rig.send(Rig.get("bad", "X-Deadline: 9000m\r\n")).status());
        assertEquals(503, rig.send(Rig.get("good", "")).status());
        rig.awaitLog("BUG in the decision module");
    }

    @Test
    void nothingIsWrittenToABackendThatStartsDrainingWhileConnecting() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", ""));
        assertNotWrittenAfterListChange(backend, Rig.entry("s", backend.address(), "DRAINING"));
    }

    /** Another server may use the old address by then. */
    @Test
    void nothingIsWrittenToABackendsOldAddress() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", ""));
        ScriptedServer elsewhere =
                rig.backend((connection, request) -> connection.respond("200 OK", ""));
        assertNotWrittenAfterListChange(backend, up("s", elsewhere));
    }

    /** Changes the list between the send and the moment at which the connection is established. */
    private void assertNotWrittenAfterListChange(ScriptedServer backend, String entry)
            throws Exception {
        EndpointList changed =
                EndpointList.parse(
                        JSON.std.mapFrom(Rig.list(9, false, entry)), List.of("a"), List.of("m"));
        BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
        rig.balancerFactory(
                        (settings, seed, actions) ->
                                scriptedBalancer(
                                        (method, args) -> {
                                            if (method.equals("request")) {
                                                actions.send(
                                                        ((Balancer.Request) args[1]).id(), "s", 0);
                                                ((ListWatch.Listener) actions)
                                                        .onList(
                                                                changed,
                                                                new Balancer.ListFreshness(0, 0));
                                            } else if (method.equals("outcome")) {
                                                outcomes.add((Outcome) args[4]);
                                                actions.refuse((String) args[1], 0);
                                            }
                                        }))
                .start(up("s", backend));
        assertEquals(503, rig.send(Rig.post("/move", "r", "")).status());
        assertEquals(
                Outcome.NOT_SENT, outcomes.poll(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertTrue(backend.received.isEmpty());
    }

    @Test
    void probesRequestTheLoad() throws Exception {
        ScriptedServer backend =
                rig.backend(
                        (connection, request) ->
                                connection.respond(
                                        "200 OK",
                                        request.startLine().contains("/status/load")
                                                ? "TEXT inflight=0, queue=0, util=0.1"
                                                : "served"));
        rig.limit("probes", true).start(up("s", backend));
        assertEquals("served", rig.send(Rig.get("a", "")).text());
        // If its probe is slow, a request is sent without the probe's result, so either may arrive
        // first.
        Message first = backend.nextRequest();
        boolean probeFirst = first.startLine().contains("/status/load");
        Message probe = probeFirst ? first : backend.nextRequest();
        assertEquals("GET /status/load HTTP/1.1", probe.startLine());
        assertNull(probe.header("X-Request-Id"), "a probe is not a request");
    }
}
