package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.proxy.Rig.up;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.proxy.HttpConnection.Message;

/**
 * Tests which client connections are kept, which are closed, and how pipelined requests are
 * handled.
 */
@Timeout(60)
final class ClientConnectionTest {

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

    /**
     * Such peers could fill the connection table, and clients that were idle for a moment lost
     * their connections.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "GET /board",
                "POST /move HTTP/1.1\r\nHost: p\r\nX-Request-Id: r\r\n"
                        + "Content-Length: 9\r\n\r\nhalf"
            })
    void aPeerThatSendsNoCompleteRequestIsClosedWithinThreeSeconds(String part) throws Exception {
        rig.start();
        long start = System.nanoTime();
        HttpConnection peer = rig.client();
        peer.write(part);
        assertNull(peer.read());
        assertTrue(System.nanoTime() - start < 3_000_000_000L);
    }

    @Test
    void silentPeersDoNotEvictAnIdleClient() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "x"));
        rig.start(up("s", backend));
        HttpConnection client = rig.client();
        client.write(Rig.get("a", ""));
        assertEquals("x", client.read().text());
        for (int i = 0; i < 300; i++) {
            rig.client();
        }
        rig.awaitLog("clients are connected");
        client.write(Rig.get("b", ""));
        assertEquals("x", client.read().text());
    }

    /** Each connection would hold a descriptor that another one needs. */
    @Test
    void connectionsAreClosedAfterTheResponseWhenManyAreOpen() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "x"));
        rig.start(up("s", backend));
        HttpConnection client = rig.client();
        client.write(Rig.get("a", ""));
        assertNull(client.read().header("Connection"));
        for (int i = 0; i < 180; i++) {
            rig.client();
        }
        // The response shows that all earlier connections have been accepted.
        assertEquals(200, rig.send("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n").status());
        client.write(Rig.get("b", ""));
        assertEquals("close", client.read().header("Connection"));
    }

    /**
     * Guards against clients that are closed while connections are kept whose clients were refused
     * and told of the close, but have not sent the rest of their bodies.
     */
    @Test
    void connectionsWhoseCloseWasAnnouncedAreEvictedFirst() throws Exception {
        rig.balancerFactory(
                        (settings, seed, actions) ->
                                Rig.scriptedBalancer((method, arguments) -> {}))
                .start();
        List<HttpConnection> refused = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            HttpConnection client = rig.client();
            client.write(
                    "POST /move HTTP/1.1\r\nHost: p\r\nContent-Length: 300000\r\nX-Request-Id: "
                            + i
                            + "\r\nX-Deadline: 300m\r\n\r\n");
            client.write(new byte[70_000]);
            refused.add(client);
        }
        for (HttpConnection client : refused) {
            assertEquals("close", client.read().header("Connection"));
        }
        HttpConnection silent = rig.client();
        for (int i = 0; i < 100; i++) {
            rig.client();
        }
        rig.awaitLog("clients are connected");
        silent.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
        assertEquals(200, silent.read().status());
    }

    /** Slow clients take 2 s to send a head: the eviction goes by silence, not by age. */
    @Test
    void aSlowHeadIsNotEvictedByThousandsOfSilentPeers() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "x"));
        rig.start(up("s", backend));
        HttpConnection slow = rig.client();
        String head = Rig.get("slow", "");
        for (int i = 0; i < head.length(); i++) {
            slow.write(head.substring(i, i + 1));
            for (int n = 0; n < 30; n++) {
                rig.client().close();
                rig.client();
            }
            assertEquals(200, rig.send("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n").status());
        }
        rig.awaitLog("clients are connected");
        assertEquals("x", slow.read().text());
    }

    @Test
    void aClientThatIsIdleOrAwaitsItsResponseIsNotClosed() throws Exception {
        ScriptedServer backend =
                rig.backend(
                        (connection, request) -> {
                            if (request.header("X-Request-Id").equals("long")) {
                                Thread.sleep(3_000);
                            }
                            connection.respond("200 OK", "late");
                        });
        rig.start(up("s", backend));
        HttpConnection client = rig.client();
        client.write(Rig.get("long", ""));
        assertEquals("late", client.read().text());
        client.write(Rig.get("next", ""));
        assertEquals("late", client.read().text());
    }

    /**
     * A peer may send 600 bad requests at a time: responding to each would cost the time of valid
     * requests.
     */
    @Test
    void noFurtherRequestIsAcceptedAfterABadOne() throws Exception {
        rig.start();
        HttpConnection peer = rig.client();
        peer.write(("GET /nothing HTTP/1.1\r\nHost: p\r\n\r\n").repeat(50));
        Message response = peer.read();
        assertEquals(404, response.status());
        assertEquals("close", response.header("Connection"));
        assertNull(peer.read());
    }

    @Test
    void respondsToPipelinedRequestsInOrder() throws Exception {
        ScriptedServer backend =
                rig.backend(
                        (connection, request) ->
                                connection.respond("200 OK", request.header("X-Request-Id")));
        rig.start(up("s", backend));
        HttpConnection client = rig.client();
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
    void aClientThatDisconnectsEndsItsAttempt() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        rig.start(up("s", backend));
        HttpConnection leaves = rig.client();
        leaves.write(Rig.get("a", ""));
        backend.nextRequest();
        leaves.close();
        backend.awaitConnectionEnd();
        HttpConnection resets = rig.client();
        resets.write(Rig.get("b", ""));
        backend.nextRequest();
        resets.reset();
        backend.awaitConnectionEnd();
    }

    @Test
    void aClientThatHalfClosesGetsAResponseAndAClose() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        rig.start(up("s", backend));
        HttpConnection client = rig.client();
        client.write(Rig.get("a", ""));
        backend.nextRequest();
        client.socket.shutdownOutput();
        assertEquals(502, client.read().status());
        assertNull(client.read());
        backend.awaitConnectionEnd();
    }
}
