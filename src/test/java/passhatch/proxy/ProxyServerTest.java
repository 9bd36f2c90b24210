package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.Balancer;
import passhatch.Balancer.Outcome;
import passhatch.proxy.Http.Message;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.discovery.Discovery;
import passhatch.proxy.discovery.EndpointList;

/** The whole proxy over loopback sockets, between scripted callers, backends and discovery. */
@Timeout(60)
final class ProxyServerTest {

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

    private static String up(String name, ScriptedServer backend) {
        return Rig.entry(name, backend.address(), "SERVING");
    }

    @Test
    void passesRequestAndBodyOnUnchanged() throws Exception {
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
        Http client = rig.client();
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
        Message answer = client.read();
        assertEquals(200, answer.status());
        assertArrayEquals(body, answer.body());
        Message sent = backend.next();
        assertEquals("POST /buy/3?q=%20a HTTP/1.1", sent.start());
        assertArrayEquals(body, sent.body());
        assertEquals("r1", sent.header("X-Request-Id"));
        assertEquals("k9", sent.header("Idempotency-Key"));
        long deadlineUs = Long.parseLong(sent.header("X-Deadline").replace("u", ""));
        assertTrue(deadlineUs > 0 && deadlineUs < 8_000_000, sent.header("X-Deadline"));
    }

    @Test
    void isReadyOnlyOnceTheListIsIn() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.SILENT);
        ProxyServer proxy =
                ProxyServer.start(
                        ProxyConfig.read(rig.environment()),
                        new EventLog(System.err),
                        passhatch.Logic::new);
        try (Http client = Http.to(proxy.address())) {
            client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
            assertEquals(503, client.read().status());
            rig.lines.add(Rig.list(8, true, up("s", backend)));
            Rig.awaitReady(proxy.address());
        } finally {
            proxy.stopNow();
        }
    }

    /**
     * Where nothing has changed since the list that is remembered, a watch begins with an empty
     * line.
     */
    /**
     * Discovery does not answer: a process that was given a list serves by that, though not at
     * once.
     */
    @Test
    void isReadyByTheListItWasGivenWhereDiscoveryDoesNotAnswer() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", "known"));
        ProxyServer proxy =
                ProxyServer.start(
                        ProxyConfig.read(
                                rig.known(Rig.list(7, true, up("s", backend))).environment()),
                        new EventLog(System.err),
                        passhatch.Logic::new);
        try (Http client = Http.to(proxy.address())) {
            client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
            assertEquals(503, client.read().status());
            Rig.awaitReady(proxy.address());
            client.write(Rig.get("r", ""));
            assertEquals("known", client.read().text());
        } finally {
            proxy.stopNow();
        }
    }

    @Test
    void isReadyWhereNothingHasChanged() throws Exception {
        rig.lines.add("");
        ProxyServer proxy =
                ProxyServer.start(
                        ProxyConfig.read(rig.environment()),
                        new EventLog(System.err),
                        passhatch.Logic::new);
        try {
            Rig.awaitReady(proxy.address());
        } finally {
            proxy.stopNow();
        }
    }

    /**
     * The old watch stays open and says nothing more: what drains meanwhile is heard on another.
     */
    @Test
    void aWatchThatStallsIsGivenUpAndTheLastListServesMeanwhile() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", "x"));
        ScriptedServer next =
                rig.backend((connection, request) -> connection.answer("200 OK", "next"));
        rig.start(up("s", backend));
        rig.discovery().next();
        long start = System.nanoTime();
        while (rig.discovery().received.isEmpty()) {
            assertEquals("x", rig.call(Rig.get("r" + System.nanoTime(), "")).text());
            Thread.sleep(20);
        }
        assertTrue(System.nanoTime() - start < 5_000_000_000L, "too late to hear in time");
        assertTrue(rig.discovery().next().start().contains("watch=1&from=8"));
        String text = "x";
        for (int i = 0; !text.equals("next"); i++) {
            // The stalled watch may still take one of them.
            rig.lines.add(
                    Rig.list(
                            9,
                            false,
                            Rig.entry("s", backend.address(), "DRAINING"),
                            up("t", next)));
            text = rig.call(Rig.get("s" + i, "")).text();
            Thread.sleep(5);
        }
        int served = backend.received.size();
        for (int i = 0; i < 5; i++) {
            assertEquals("next", rig.call(Rig.get("t" + i, "")).text());
        }
        assertEquals(served, backend.received.size(), "sent to a backend that drains");
    }

    /** A malformed head leaves no place to read on from. */
    @Test
    void whatIsNotHttpIsTurnedDownAndTheConnectionClosed() throws Exception {
        rig.start();
        Http client = rig.client();
        client.write("GET /board HTTP/9.x\r\nbad\r\n\r\n");
        assertEquals(400, client.read().status());
        assertNull(client.read());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    404 | GET /nothing HTTP/1.1           | X-Deadline: 800m
                    404 | GET / HTTP/1.1                  | X-Deadline: 800m
                    400 | POST /board HTTP/1.1            | X-Deadline: 800m
                    400 | POST /buy HTTP/1.1              | X-Deadline: 800m
                    400 | GET /board HTTP/1.1             | X-Deadline: soon
                    400 | GET /board HTTP/1.1             | X-Deadline: 800
                    400 | GET /board HTTP/1.1             | X-Deadline: -5m
                    400 | GET /board HTTP/1.1             | X-Tenant: nobody
                    413 | POST /move HTTP/1.1             | Content-Length: 33554433
                    """)
    void turnsMalformedRequestsDownAndSendsNothing(int status, String start, String header)
            throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", ""));
        rig.start(up("s", backend));
        assertEquals(
                status,
                rig.call(start + "\r\nHost: p\r\nX-Request-Id: bad\r\n" + header + "\r\n\r\n")
                        .status());
        assertEquals(200, rig.call(Rig.get("good", "")).status());
        assertEquals("good", backend.next().header("X-Request-Id"));
        assertTrue(backend.received.isEmpty());
    }

    /**
     * Such peers filled the table of connections, and clients that were idle for a moment lost
     * theirs.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "GET /board",
                "POST /move HTTP/1.1\r\nHost: p\r\nX-Request-Id: r\r\n"
                        + "Content-Length: 9\r\n\r\nhalf"
            })
    void aPeerThatSendsNoWholeRequestIsLetGoWithinThreeSeconds(String part) throws Exception {
        rig.start();
        long start = System.nanoTime();
        Http peer = rig.client();
        peer.write(part);
        assertNull(peer.read());
        assertTrue(System.nanoTime() - start < 3_000_000_000L);
    }

    @Test
    void peersThatSendNothingDoNotPushAClientOut() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", "x"));
        rig.start(up("s", backend));
        Http client = rig.client();
        client.write(Rig.get("a", ""));
        assertEquals("x", client.read().text());
        for (int i = 0; i < 300; i++) {
            rig.client();
        }
        rig.awaitLog("clients are connected");
        client.write(Rig.get("b", ""));
        assertEquals("x", client.read().text());
    }

    /** Each of them would hold a descriptor that another needs. */
    @Test
    void inACrowdNoClientIsKeptForANextRequest() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", "x"));
        rig.start(up("s", backend));
        Http client = rig.client();
        client.write(Rig.get("a", ""));
        assertNull(client.read().header("Connection"));
        for (int i = 0; i < 180; i++) {
            rig.client();
        }
        // Answered after those that came before it were taken.
        assertEquals(200, rig.call("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n").status());
        client.write(Rig.get("b", ""));
        assertEquals("close", client.read().header("Connection"));
    }

    /** Slow clients write a head for 2 s: silence counts, not age, when one has to go. */
    @Test
    void aSlowHeadStaysWhileThousandsComeAndSayNothing() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", "x"));
        rig.start(up("s", backend));
        Http slow = rig.client();
        String head = Rig.get("slow", "");
        for (int i = 0; i < head.length(); i++) {
            slow.write(head.substring(i, i + 1));
            for (int n = 0; n < 30; n++) {
                rig.client().close();
                rig.client();
            }
            assertEquals(200, rig.call("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n").status());
        }
        rig.awaitLog("clients are connected");
        assertEquals("x", slow.read().text());
    }

    @Test
    void aClientThatIsIdleOrWaitsForItsAnswerIsNotLetGo() throws Exception {
        ScriptedServer backend =
                rig.backend(
                        (connection, request) -> {
                            if (request.header("X-Request-Id").equals("long")) {
                                Thread.sleep(3_000);
                            }
                            connection.answer("200 OK", "late");
                        });
        rig.start(up("s", backend));
        Http client = rig.client();
        client.write(Rig.get("long", ""));
        assertEquals("late", client.read().text());
        client.write(Rig.get("next", ""));
        assertEquals("late", client.read().text());
    }

    /** One peer sent 600 at a time: answering each cost the time of requests that counted. */
    @Test
    void nothingMoreIsTakenFromAPeerThatSentNoRequest() throws Exception {
        rig.start();
        Http peer = rig.client();
        peer.write(("GET /nothing HTTP/1.1\r\nHost: p\r\n\r\n").repeat(50));
        Message answer = peer.read();
        assertEquals(404, answer.status());
        assertEquals("close", answer.header("Connection"));
        assertNull(peer.read());
    }

    /** Its body is neither waited for nor read. */
    @Test
    void aBodyThatIsTooLargeIsTurnedDownAtItsAnnouncement() throws Exception {
        rig.start();
        Http peer = rig.client();
        peer.write(
                "POST /move HTTP/1.1\r\n"
                        + "Host: p\r\n"
                        + "X-Request-Id: r\r\n"
                        + "Content-Length: 60000000\r\n\r\n");
        assertEquals(413, peer.read().status());
        assertNull(peer.read());
    }

    @Test
    void anIdStillHeldIsNotTakenTwice() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.SILENT);
        rig.start(up("s", backend));
        rig.client().write(Rig.get("same", ""));
        backend.next();
        assertEquals(400, rig.call(Rig.get("same", "")).status());
        assertTrue(backend.received.isEmpty());
    }

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        ScriptedServer backend =
                rig.backend(
                        (connection, request) ->
                                connection.answer("200 OK", request.header("X-Request-Id")));
        rig.start(up("s", backend));
        Http client = rig.client();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 10; i++) {
            all.append(Rig.get("p" + i, ""));
        }
        client.write(all.toString());
        for (int i = 0; i < 10; i++) {
            assertEquals("p" + i, client.read().text());
        }
    }

    @Test
    void answersBeforeTheDeadlineOnceAndGivesTheAttemptUp() throws Exception {
        ScriptedServer backend =
                rig.backend(
                        (connection, request) -> {
                            if (request.header("X-Request-Id").equals("slow")) {
                                connection.socket.getInputStream().read();
                            } else {
                                connection.answer("200 OK", "quick");
                            }
                        });
        rig.start(up("s", backend));
        Http client = rig.client();
        long start = System.nanoTime();
        client.write(Rig.post("/move", "slow", "X-Deadline: 1500m\r\n"));
        Message answer = client.read();
        assertTrue((System.nanoTime() - start) / 1_000_000 < 1500);
        assertEquals(
                502, answer.status(), "an unsafe request that may have run is failed, not refused");
        backend.awaitEnded();
        client.write(Rig.get("next", ""));
        assertEquals("quick", client.read().text(), "nothing more was written for the first");
    }

    @Test
    void answersItselfJustInTimeWhereTheModuleDoesNot() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.SILENT);
        rig.module(
                        (settings, seed, actions) ->
                                module(
                                        (method, args) -> {
                                            if (args[args.length - 1] instanceof Balancer.Request r
                                                    && r.id().equals("sent")) {
                                                actions.send(r.id(), "s", 0);
                                            }
                                        }))
                .start(up("s", backend));
        long start = System.nanoTime();
        assertEquals(502, rig.call(Rig.post("/move", "sent", "X-Deadline: 900m\r\n")).status());
        assertTrue((System.nanoTime() - start) / 1_000_000 < 900);
        assertEquals(
                503, rig.call(Rig.post("/move/held", "held", "X-Deadline: 300m\r\n")).status());
    }

    /** A decision module of the test's own. */
    static Balancer module(BiConsumer<String, Object[]> told) {
        return (Balancer)
                Proxy.newProxyInstance(
                        Balancer.class.getClassLoader(),
                        new Class<?>[] {Balancer.class},
                        (self, method, args) -> {
                            told.accept(method.getName(), args);
                            return null;
                        });
    }

    /**
     * After a hold-up of 0.9 s one more would make an answer too late by more than its client
     * bears.
     */
    @Test
    void requestsAfterALongHoldUpAreDueSooner() throws Exception {
        BlockingQueue<Long> left = new LinkedBlockingQueue<>();
        rig.module(
                        (settings, seed, actions) ->
                                module(
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
        String four = "X-Deadline: 4000m\r\n";
        rig.call(Rig.get("before", four));
        rig.call(Rig.get("held", four));
        // Until some beats have passed the request may have stood unread for as long: another
        // matter.
        Thread.sleep(200);
        rig.call(Rig.get("after", four));
        assertTrue(left.take() > 3_800_000, "no hold-up was seen yet");
        left.take();
        long after = left.take();
        assertTrue(after < 3_600_000 && after > 2_500_000, after + " us are left");
    }

    /** What is kept back for the answer's way must not be a third of a short time. */
    @ParameterizedTest
    @CsvSource({"8, 6000", "60, 50000", "400, 370000"})
    void leavesMostOfItsTimeToARequest(int deadlineMs, long leastUs) throws Exception {
        BlockingQueue<Long> left = new LinkedBlockingQueue<>();
        rig.module(
                        (settings, seed, actions) ->
                                module(
                                        (method, args) -> {
                                            if (args[args.length - 1]
                                                    instanceof Balancer.Request r) {
                                                left.add(r.timeLeftUs());
                                                actions.refuse(r.id(), 0);
                                            }
                                        }))
                .start();
        // A hold-up of this test's own machine takes of one request's time, and not of each.
        long most = 0;
        for (int i = 0; i < 50 && most < leastUs; i++) {
            rig.call(Rig.get("r" + i, "X-Deadline: " + deadlineMs + "m\r\n"));
            most = Math.max(most, left.take());
        }
        assertTrue(most >= leastUs, most + " us are left of " + deadlineMs + " ms");
    }

    /** A request's time runs on while the loop is held up and reads nothing. */
    @Test
    void theTimeThatARequestStoodUnreadIsTakenOff() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.SILENT);
        CountDownLatch heldUp = new CountDownLatch(1);
        BlockingQueue<Long> left = new LinkedBlockingQueue<>();
        rig.module(
                        (settings, seed, actions) ->
                                module(
                                        (method, args) -> {
                                            if (args[args.length - 1]
                                                    instanceof Balancer.Request r) {
                                                if (r.id().equals("first")) {
                                                    heldUp.countDown();
                                                    LockSupport.parkNanos(400_000_000);
                                                } else {
                                                    left.add(r.timeLeftUs());
                                                }
                                                actions.refuse(r.id(), 0);
                                            }
                                        }))
                .start(up("s", backend));
        Http first = rig.client();
        Http second = rig.client();
        first.write(Rig.get("first", ""));
        heldUp.await();
        second.write(Rig.get("second", "X-Deadline: 5000m\r\n"));
        assertEquals(503, second.read().status());
        assertTrue(left.take() < 4_800_000);
    }

    @Test
    void refusesWithRetryAfterWhereNothingRan() throws Exception {
        ScriptedServer full =
                rig.backend(
                        (connection, request) ->
                                connection.write(
                                        "HTTP/1.1 503 Busy\r\n"
                                                + "X-Not-Run: 1\r\n"
                                                + "Content-Length: 0\r\n\r\n"));
        rig.aimUs(300_000).start(up("s", full));
        Message answer = rig.call(Rig.post("/move", "r", "X-Deadline: 9000m\r\n"));
        assertEquals(503, answer.status());
        assertEquals("2", answer.header("Retry-After"));
    }

    @Test
    void unsafeIsNotSentAgainAfterAReset() throws Exception {
        ScriptedServer.Script breaks = (connection, request) -> connection.reset();
        ScriptedServer a = rig.backend(breaks);
        ScriptedServer b = rig.backend(breaks);
        rig.start(up("a", a), up("b", b));
        assertEquals(502, rig.call(Rig.post("/move", "r", "")).status());
        assertEquals(1, a.received.size() + b.received.size());
    }

    @Test
    void unsafeIsSentElsewhereWhereItDidNotRun() throws Exception {
        ScriptedServer.Script once =
                (connection, request) -> {
                    if (request.header("X-Request-Id").equals("r")) {
                        connection.write(
                                "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
                    }
                };
        ScriptedServer good = ScriptedServer.saying("done");
        ScriptedServer full = rig.backend(once);
        try (good) {
            rig.start(up("full", full));
            Http client = rig.client();
            client.write(Rig.post("/move", "r", ""));
            full.next();
            rig.lines.add(Rig.list(9, false, up("good", good)));
            assertEquals("done", client.read().text());
        }
    }

    /** The module repeats in time; the connection comes up when the key is no longer remembered. */
    @Test
    void aRepeatByKeyIsNotWrittenOnceItsServerWouldNoLongerDropIt() throws Exception {
        ScriptedServer first = rig.backend((connection, request) -> connection.reset());
        BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
        try (ServerSocket late = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress at = (InetSocketAddress) late.getLocalSocketAddress();
            rig.windowUs(300_000)
                    .module(
                            (settings, seed, actions) ->
                                    module(
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
                    Http client = rig.client()) {
                client.write(Rig.post("/buy/1", "r", "Idempotency-Key: k\r\n"));
                assertEquals(Outcome.RESET, outcomes.poll(Http.PATIENCE_MS, TimeUnit.MILLISECONDS));
                assertTrue(a.isConnected() && b.isConnected());
                // However late this is, it is after the window; with its queue full nothing comes
                // up before.
                Thread.sleep(400);
                late.accept().close();
                late.accept().close();
                try (Socket repeat = late.accept()) {
                    assertEquals(502, client.read().status());
                    assertEquals(
                            Outcome.NOT_SENT,
                            outcomes.poll(Http.PATIENCE_MS, TimeUnit.MILLISECONDS));
                    assertEquals(0, repeat.getInputStream().available());
                }
            }
        }
    }

    /** Whatever the module throws, its request is answered and later ones are decided on. */
    @Test
    void decidesOnAfterAnErrorInTheModule() throws Exception {
        rig.module(
                        (settings, seed, actions) ->
                                module(
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
        assertEquals(502, rig.call(Rig.get("bad", "X-Deadline: 9000m\r\n")).status());
        assertEquals(503, rig.call(Rig.get("good", "")).status());
        rig.awaitLog("BUG in the decision module");
    }

    /** The list changes between the send and the moment the connection is up. */
    @Test
    void nothingIsWrittenToABackendThatDrainsWhileConnecting() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", ""));
        EndpointList drains =
                EndpointList.of(
                        JSON.std.mapFrom(
                                Rig.list(9, false, Rig.entry("s", backend.address(), "DRAINING"))),
                        List.of("a"),
                        List.of("m"));
        BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
        rig.module(
                        (settings, seed, actions) ->
                                module(
                                        (method, args) -> {
                                            if (method.equals("request")) {
                                                actions.send(
                                                        ((Balancer.Request) args[1]).id(), "s", 0);
                                                ((Discovery.Listener) actions).listed(drains);
                                            } else if (method.equals("outcome")) {
                                                outcomes.add((Outcome) args[4]);
                                                actions.refuse((String) args[1], 0);
                                            }
                                        }))
                .start(up("s", backend));
        assertEquals(503, rig.call(Rig.post("/move", "r", "")).status());
        assertEquals(Outcome.NOT_SENT, outcomes.poll(Http.PATIENCE_MS, TimeUnit.MILLISECONDS));
        assertTrue(backend.received.isEmpty());
    }

    @Test
    void takesABrokenWatchUpFromTheLastIndexAndSkipsBadLines() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", "s"));
        rig.start(up("s", backend));
        assertTrue(rig.discovery().next().start().contains("from=7"));
        rig.lines.add("{\"index\":9,\"snapshot\":true,\"endpoints\":[{\"name\":5}]}");
        rig.lines.add("not json");
        rig.lines.add(Rig.END_OF_WATCH);
        assertTrue(
                rig.discovery().next().start().contains("from=8"),
                "bad lines do not count as heard");
        assertEquals("s", rig.call(Rig.get("a", "")).text(), "the last list stays");
        ScriptedServer other =
                rig.backend((connection, request) -> connection.answer("200 OK", "t"));
        rig.lines.add(
                Rig.list(12, false, Rig.entry("s", backend.address(), "DELETED"), up("t", other)));
        rig.lines.add(Rig.END_OF_WATCH);
        assertTrue(rig.discovery().next().start().contains("from=12"));
        assertEquals("t", rig.call(Rig.get("b", "")).text());
    }

    /** A call may fall silent before its answer begins: what it misses counts as told 6 s later. */
    /** What an older version says of a server was undone since: that it drains stays as it is. */
    @Test
    void changesOfAnOlderVersionUndoNothing() throws Exception {
        ScriptedServer drains =
                rig.backend((connection, request) -> connection.answer("200 OK", "drains"));
        ScriptedServer stays =
                rig.backend((connection, request) -> connection.answer("200 OK", "stays"));
        rig.start(up("drains", drains));
        rig.lines.add(
                Rig.list(
                        12,
                        false,
                        up("stays", stays),
                        Rig.entry("drains", drains.address(), "DRAINING")));
        rig.lines.add(
                Rig.list(
                        11,
                        false,
                        up("drains", drains),
                        Rig.entry("stays", stays.address(), "DELETED")));
        rig.awaitLog("a list is skipped: its version 11 is older than 12");
        for (int i = 0; i < 4; i++) {
            assertEquals("stays", rig.call(Rig.get("r" + i, "")).text());
        }
    }

    /** The name of a class may be any text, and comes escaped where it may not stand in a path. */
    @ParameterizedTest
    @CsvSource({"a class/ä+%, /a%20class%2F%C3%A4%2B%25/7", "board, /%62oard", "b+c, /b+c/1"})
    void takesAClassWhoseNameComesEscaped(String name, String path) throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", "x"));
        rig.safeClass(name).start(up("s", backend));
        assertEquals(
                200,
                rig.call("GET " + path + " HTTP/1.1\r\nHost: p\r\nX-Request-Id: r\r\n\r\n")
                        .status());
        assertTrue(backend.next().start().contains(path), "the path goes on as it came");
        assertEquals(
                404,
                rig.call("GET /%zz/1 HTTP/1.1\r\nHost: p\r\nX-Request-Id: s\r\n\r\n").status());
    }

    @Test
    void asksAgainInTimeWhereACallGetsNoAnswerAtAll() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", "s"));
        rig.start(up("s", backend));
        rig.discovery().next();
        rig.lines.add(Rig.END_OF_WATCH);
        rig.lines.add(Rig.UNANSWERED);
        rig.discovery().next();
        long silent = System.nanoTime();
        rig.discovery().next();
        long ms = (System.nanoTime() - silent) / 1_000_000;
        assertTrue(ms > 2_500 && ms < 5_000, "asked again after " + ms + " ms");
    }

    /**
     * One that begins and does not end is no list, whatever comes of it: it is asked for once more.
     */
    @Test
    void givesAListUpThatDoesNotEnd() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", "s"));
        rig.start(up("s", backend));
        rig.discovery().next();
        rig.lines.add("{\"index\":9,");
        rig.awaitLog("a list is skipped: it did not end");
        assertTrue(rig.discovery().next().start().contains("from=8"));
        assertEquals("s", rig.call(Rig.get("a", "")).text(), "the last list stays");
    }

    /**
     * A start asks discovery once, not twice, as all calls of all proxies wait there in one line.
     */
    @Test
    void watchesAtOnceFromAKnownListWhoseVersionIsZero() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", "s"));
        rig.known(Rig.list(0, true, up("s", backend))).start(up("s", backend));
        assertEquals("GET /v1/endpoints?watch=1&from=0 HTTP/1.1", rig.discovery().next().start());
        assertEquals("s", rig.call(Rig.get("a", "")).text());
    }

    /** With nothing known, not even a version, the whole list comes first. */
    @Test
    void fetchesTheWholeListWhereNothingIsKnown() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", "s"));
        rig.known(Rig.list(0, true)).start(up("s", backend));
        assertEquals("GET /v1/endpoints HTTP/1.1", rig.discovery().next().start());
        assertEquals("GET /v1/endpoints?watch=1&from=8 HTTP/1.1", rig.discovery().next().start());
    }

    /** Lists and changes may come indented, on a watch as in an answer. */
    @Test
    void takesListsThatComeIndented() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", "s"));
        ScriptedServer other =
                rig.backend((connection, request) -> connection.answer("200 OK", "t"));
        rig.indented().start(up("s", backend));
        assertEquals("s", rig.call(Rig.get("a", "")).text());
        rig.lines.add(
                Rig.list(12, false, Rig.entry("s", backend.address(), "DELETED"), up("t", other)));
        rig.lines.add(Rig.END_OF_WATCH);
        rig.lines.add(Rig.FORGOTTEN);
        rig.lines.add(Rig.list(40, true, up("t", other)));
        assertTrue(rig.discovery().next().start().contains("from=7"));
        assertTrue(rig.discovery().next().start().contains("from=12"));
        assertEquals("GET /v1/endpoints HTTP/1.1", rig.discovery().next().start());
        assertTrue(rig.discovery().next().start().contains("from=40"));
        assertEquals("t", rig.call(Rig.get("b", "")).text());
    }

    @Test
    void fetchesTheWholeListWhereTheVersionIsForgotten() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.answer("200 OK", "s"));
        rig.start(up("s", backend));
        assertTrue(rig.discovery().next().start().contains("from=7"));
        ScriptedServer other =
                rig.backend((connection, request) -> connection.answer("200 OK", "t"));
        rig.lines.add(Rig.END_OF_WATCH);
        rig.lines.add(Rig.FORGOTTEN);
        rig.lines.add(Rig.list(40, true, up("t", other)));
        assertTrue(rig.discovery().next().start().contains("from=8"));
        assertEquals("GET /v1/endpoints HTTP/1.1", rig.discovery().next().start());
        assertTrue(rig.discovery().next().start().contains("from=40"));
        assertEquals("t", rig.call(Rig.get("b", "")).text());
    }

    @Test
    void aClientThatLeavesEndsItsAttempt() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.SILENT);
        rig.start(up("s", backend));
        Http leaves = rig.client();
        leaves.write(Rig.get("a", ""));
        backend.next();
        leaves.close();
        backend.awaitEnded();
        Http resets = rig.client();
        resets.write(Rig.get("b", ""));
        backend.next();
        resets.reset();
        backend.awaitEnded();
    }

    @Test
    void aClientThatEndsItsSendingIsAnsweredAndLetGo() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.SILENT);
        rig.start(up("s", backend));
        Http client = rig.client();
        client.write(Rig.get("a", ""));
        backend.next();
        client.socket.shutdownOutput();
        assertEquals(502, client.read().status());
        assertNull(client.read());
        backend.awaitEnded();
    }

    @Test
    void probesAskForTheLoad() throws Exception {
        ScriptedServer backend =
                rig.backend(
                        (connection, request) ->
                                connection.answer(
                                        "200 OK",
                                        request.start().contains("/status/load")
                                                ? "TEXT inflight=0, queue=0, util=0.1"
                                                : "served"));
        rig.limit("probes", true).start(up("s", backend));
        assertEquals("served", rig.call(Rig.get("a", "")).text());
        // A call goes out without the answer to its probe where that is slow, so either may come
        // first.
        Message first = backend.next();
        boolean probeFirst = first.start().contains("/status/load");
        Message probe = probeFirst ? first : backend.next();
        assertEquals("GET /status/load HTTP/1.1", probe.start());
        assertNull(probe.header("X-Request-Id"), "a probe is no request");
    }

    @Test
    void badConfigurationGivesOneLineAndStatusTwo() throws Exception {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        var env = new java.util.HashMap<>(rig.limit("maxAttempts", "many").environment());
        assertEquals(2, ProxyServer.serve(env, new java.io.PrintStream(err)));
        assertEquals(1, err.toString(StandardCharsets.UTF_8).lines().count(), err.toString());
        assertTrue(
                err.toString(StandardCharsets.UTF_8).contains("limits.maxAttempts"),
                err.toString());
        env.remove("PROXY_LISTEN");
        assertEquals(2, ProxyServer.serve(env, new java.io.PrintStream(err)));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("PROXY_LISTEN is not set"));
        assertEquals(2, err.toString(StandardCharsets.UTF_8).lines().count());
    }
}
