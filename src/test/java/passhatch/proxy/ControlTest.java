package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
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
import passhatch.proxy.base.EventLog;
import passhatch.proxy.control.Control;

/** The commands on the control address and their responses. */
@Timeout(60)
final class ControlTest {

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

    @Test
    void isReadyOnceTheListIsReceivedAndNotAfterShutdownBegins() throws Exception {
        ProxyServer proxy =
                ProxyServer.start(
                        ProxyConfig.read(rig.environment()),
                        new EventLog(System.err),
                        passhatch.Logic::new);
        try {
            assertTrue(Rig.sendCommand(proxy.controlAddress(), "check\n").startsWith("error"));
            rig.lines.add(Rig.list(8, true));
            Rig.awaitReady(proxy.address());
            assertEquals("done\n", Rig.sendCommand(proxy.controlAddress(), "check\r\n"));
            proxy.shutDown();
            assertTrue(Rig.sendCommand(proxy.controlAddress(), "check\n").startsWith("error"));
        } finally {
            proxy.stopNow();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "chec\n", "check vars\n", "\0\7\n"})
    void anInvalidCommandIsAnError(String line) throws Exception {
        rig.start();
        assertTrue(rig.sendCommand(line).startsWith("error"));
    }

    @Test
    void aLineThatIsTooLongIsAnError() throws Exception {
        rig.start();
        try (HttpConnection caller = HttpConnection.connect(rig.proxy().controlAddress())) {
            caller.write("x".repeat(300));
            assertTrue(caller.readAll().startsWith("error"));
        }
        assertEquals("done\n", rig.sendCommand("check\n"));
    }

    @Test
    void anIncompleteLineIsNoCommand() throws Exception {
        rig.start();
        try (HttpConnection caller = HttpConnection.connect(rig.proxy().controlAddress())) {
            caller.write("che");
            caller.socket.shutdownOutput();
            assertEquals("", caller.readAll());
        }
        assertEquals("done\n", rig.sendCommand("check\n"));
    }

    /**
     * Silent connections hold descriptors, so their number is limited; other commands still get a
     * response.
     */
    @Test
    void silentConnectionsDoNotBlockOthers() throws Exception {
        rig.start();
        List<HttpConnection> silent = new ArrayList<>();
        for (int i = 0; i < 5 * Control.MAX_CONNECTIONS; i++) {
            silent.add(HttpConnection.connect(rig.proxy().controlAddress()));
        }
        assertEquals("done\n", rig.sendCommand("check\n"));
        for (HttpConnection caller : silent.subList(0, 4 * Control.MAX_CONNECTIONS)) {
            assertEquals("", caller.readAll(), "the connection was not closed");
        }
    }

    @Test
    void withoutAnAddressNothingListens() throws Exception {
        rig.control(null).start();
        assertNull(rig.proxy().controlAddress());
    }

    @Test
    void anUnusableAddressIsLoggedAndTheProxyServes() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            ScriptedServer backend =
                    rig.backend((connection, request) -> connection.respond("200 OK", "x"));
            rig.control("127.0.0.1:" + taken.getLocalPort())
                    .start(Rig.entry("s", backend.address(), "SERVING"));
            rig.awaitLog("no control address: ");
            assertEquals(200, rig.send(Rig.get("r", "")).status());
        }
    }

    /**
     * One request is served at its second attempt, one refused, one failed, and one abandoned by
     * its client.
     */
    @Test
    void countsEachRequestOnceByItsResultAndEachAttempt() throws Exception {
        ScriptedServer backend =
                rig.backend(
                        (connection, request) -> {
                            switch (request.header("X-Request-Id")) {
                                case "full" ->
                                        connection.write(
                                                "HTTP/1.1 503 Busy\r\n"
                                                        + "X-Not-Run: 1\r\n"
                                                        + "Content-Length: 0\r\n\r\n");
                                case "silent" -> {}
                                case "breaks" -> connection.reset();
                                default -> connection.respond("200 OK", "x");
                            }
                        });
        ScriptedServer drains = rig.backend(ScriptedServer.NO_RESPONSE);
        rig.aimUs(300_000)
                .start(
                        Rig.entry("s", backend.address(), "SERVING"),
                        Rig.entry("t", drains.address(), "DRAINING"));
        assertEquals(2, rig.metric("hosts_listed"));
        assertEquals(1, rig.metric("hosts_down"));
        assertEquals(200, rig.send(Rig.get("served", "")).status());
        assertEquals(503, rig.send(Rig.post("/move", "full", "")).status());
        assertEquals(404, rig.send("GET /nothing HTTP/1.1\r\nHost: p\r\n\r\n").status());
        try (HttpConnection leaves = rig.client()) {
            leaves.write(Rig.get("silent", ""));
            rig.awaitMetric("inflight", 1);
            rig.awaitMetric("backend_calls", 3);
        }
        rig.awaitMetric("inflight", 0);
        assertEquals(502, rig.send(Rig.post("/move", "breaks", "")).status());
        assertEquals(
                """
                app_success{tier="board"} 1
                app_success{tier="buy"} 0
                app_success{tier="move"} 0
                app_busy{tier="board"} 0
                app_busy{tier="buy"} 0
                app_busy{tier="move"} 1
                app_failure{tier="board"} 0
                app_failure{tier="buy"} 0
                app_failure{tier="move"} 1
                app_backend_calls 4
                app_inflight 0
                app_hosts_listed 2
                app_hosts_down 2
                end
                """,
                rig.sendCommand("vars\n"));
    }

    /**
     * A caller whose socket stays open, with input after its command, still gets its response at
     * once.
     */
    @Test
    void respondsAndClosesThoughTheCallerKeepsItsSocketOpen() throws Exception {
        rig.start();
        try (Socket caller =
                new Socket(
                        InetAddress.getLoopbackAddress(), rig.proxy().controlAddress().getPort())) {
            caller.getOutputStream().write("check\nvars\n".getBytes());
            assertEquals("done\n", new String(caller.getInputStream().readAllBytes()));
        }
    }
}
