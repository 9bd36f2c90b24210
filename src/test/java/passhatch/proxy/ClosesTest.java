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
 * Bytes that come in the very moment in which a connection is ended. What was answered before
 * arrives, its client sees an end and no reset, and nothing of what came is sent on.
 */
@Timeout(60)
final class ClosesTest {

    private static final String CLOSE = "Connection: close\r\n";

    /** As long as may be held whole; more than the system takes for a narrow client. */
    private static final String LONG = "x".repeat(60_000);

    @TempDir Path folder;
    private Rig rig;
    private final CountDownLatch served = new CountDownLatch(1);
    private final List<String> asked = Collections.synchronizedList(new ArrayList<>());

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    /**
     * The module has one request served and all others refused at once, of these one after this has
     * run on the loop: what comes by then is not read yet.
     */
    private void answersAfter(String id, Runnable crossing) throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", LONG));
        rig.balancerFactory(
                        (settings, seed, actions) ->
                                Rig.scriptedBalancer(
                                        (method, args) -> {
                                            if (method.equals("outcome")) {
                                                served.countDown();
                                            } else if (method.equals("request")) {
                                                String of = ((Balancer.Request) args[1]).id();
                                                asked.add(of);
                                                if (of.equals("before")) {
                                                    actions.send(of, "s", 0);
                                                    return;
                                                }
                                                if (of.equals(id)) {
                                                    crossing.run();
                                                }
                                                actions.refuse(of, 0);
                                            }
                                        }))
                .start(Rig.entry("s", backend.address(), "SERVING"));
    }

    /** A client that was answered and has not read that: a reset would destroy it on its way. */
    private HttpConnection clientWithAnAnswerOnItsWay() throws Exception {
        HttpConnection client = HttpConnection.withSmallReceiveBuffer(rig.proxy().address());
        client.write(Rig.get("before", "X-Deadline: 9000m\r\n"));
        served.await();
        return client;
    }

    /** A socket that was closed is given back to the system some turns of the loop later. */
    private void awaitTurns() throws InterruptedException {
        for (int turns = 0; turns < 3; turns++) {
            rig.proxy().awaitSubmittedTasks();
        }
    }

    /** Reads what is on its way, once all that the proxy did about its connection is done. */
    private void readsOnlyNow(HttpConnection client) throws Exception {
        awaitTurns();
        assertEquals(LONG, client.read().text());
    }

    private static void write(HttpConnection client, String text) {
        try {
            client.write(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String more(String what) {
        return switch (what) {
            case "a request" -> Rig.get("behind", "");
            case "half a head" -> "GET /board/7 HTTP/1.1\r\nX-Req";
            default -> "x".repeat(60_000);
        };
    }

    @ParameterizedTest
    @ValueSource(strings = {"a request", "half a head", "nonsense"})
    void behindTheLastAnswer(String what) throws Exception {
        BlockingQueue<HttpConnection> asks = new LinkedBlockingQueue<>();
        CountDownLatch crossed = new CountDownLatch(1);
        answersAfter(
                "last",
                () -> {
                    write(asks.remove(), more(what));
                    crossed.countDown();
                });
        try (HttpConnection client = clientWithAnAnswerOnItsWay()) {
            asks.add(client);
            client.write(Rig.get("last", CLOSE));
            crossed.await();
            readsOnlyNow(client);
            assertEquals(503, client.read().status());
            assertNull(client.read());
        }
        assertEquals(List.of("before", "last"), asked);
    }

    /**
     * The last answer is long on its way, as its client reads slowly; requests behind it are not
     * taken.
     */
    @Test
    void whileTheLastAnswerIsWritten() throws Exception {
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
     * The request comes when the process that ends lets resting clients go, and is not read before.
     */
    @Test
    void onARestingConnectionAtTheEnd() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        rig.deadlineUs(200_000);
        answersAfter(
                "held",
                () -> {
                    held.countDown();
                    // Longer than a process with short deadlines serves on.
                    LockSupport.parkNanos(
                            ShutdownSchedule.of(200).closeClientsMs() * 1_000_000 + 50_000_000);
                });
        try (HttpConnection resting = clientWithAnAnswerOnItsWay()) {
            HttpConnection holds = rig.client();
            rig.proxy().shutDown();
            rig.proxy().awaitSubmittedTasks();
            holds.write(Rig.get("held", ""));
            held.await();
            resting.write(Rig.get("crossing", ""));
            assertEquals(503, holds.read().status());
            readsOnlyNow(resting);
            assertNull(resting.read());
        }
        assertTrue(rig.proxy().awaitTermination(HttpConnection.TIMEOUT_MS));
        assertEquals(List.of("before", "held"), asked);
    }

    /** A client that does not end its side is not waited for long. */
    @Test
    void aClientThatGoesOnSendingIsLetGo() throws Exception {
        answersAfter("last", () -> {});
        HttpConnection client = rig.client();
        client.write(Rig.get("last", CLOSE));
        assertEquals(503, client.read().status());
        assertNull(client.read());
        assertEquals("", rig.unreleasedResources(), "its side stays open, and is not waited for");
    }

    /** What operators are told arrives though they have sent more than the one line. */
    @Test
    void behindAnOperatorsCall() throws Exception {
        rig.control().safeClass("c".repeat(50_000)).start();
        try (HttpConnection caller =
                HttpConnection.withSmallReceiveBuffer(rig.proxy().controlAddress())) {
            caller.write("vars\n" + "x".repeat(60_000));
            awaitTurns();
            String text = caller.readAll();
            assertTrue(text.endsWith("end\n"), () -> text.length() + " characters");
        }
    }
}
