package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.lab.drill.LocalNetwork;
import passhatch.proxy.HttpConnection.Message;
import passhatch.proxy.base.EventLog;

/** The proxy's response to signals; some tests run it as a process of its own. */
@Timeout(60)
final class SignalTest {

    @TempDir Path folder;

    @Test
    void servesOpenAndNewRequestsAndThenExitsWithZero() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend =
                    rig.backend(
                            (connection, request) -> {
                                release.await();
                                connection.respond("200 OK", request.header("X-Request-Id"));
                            });
            rig.lines.add(Rig.list(8, true, Rig.entry("s", backend.address(), "SERVING")));
            InetSocketAddress address = LocalNetwork.reserveAddress();
            Process process = serve(rig, address);
            try {
                awaitListening(address);
                Rig.awaitReady(address);
                HttpConnection blockedClient = HttpConnection.connect(address);
                blockedClient.write(Rig.get("held", ""));
                backend.nextRequest();
                HttpConnection openClient = HttpConnection.connect(address);
                HttpConnection idleClient = HttpConnection.connect(address);
                idleClient.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
                assertEquals(200, idleClient.read().status());
                process.toHandle().destroy();
                BufferedReader log = process.errorReader(StandardCharsets.UTF_8);
                for (String line = log.readLine();
                        !line.contains("shutting down");
                        line = log.readLine()) {
                    assertTrue(process.isAlive(), line);
                }
                HttpConnection lateClient = HttpConnection.connect(address);
                lateClient.write(Rig.get("late", ""));
                backend.nextRequest();
                openClient.write(Rig.get("kept", ""));
                backend.nextRequest();
                awaitNotListening(address);
                assertNull(
                        idleClient.read(), "an idle connection stays open while others are served");
                release.countDown();
                for (HttpConnection client :
                        new HttpConnection[] {blockedClient, lateClient, openClient}) {
                    Message response = client.read();
                    assertEquals(200, response.status());
                    assertEquals("close", response.header("Connection"));
                }
                assertTrue(process.waitFor(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Each request uses a new connection while one process takes over from another. */
    @Test
    void aNewProcessTakesOverWithoutLosingARequest() throws Exception {
        try (Rig rig = new Rig(folder).control()) {
            CountDownLatch release = new CountDownLatch(1);
            ScriptedServer backend =
                    rig.backend(
                            (connection, request) -> {
                                if (request.header("X-Request-Id").equals("held")) {
                                    release.await();
                                }
                                connection.respond("200 OK", request.header("X-Request-Id"));
                            });
            String list = Rig.list(8, true, Rig.entry("s", backend.address(), "SERVING"));
            InetSocketAddress address = LocalNetwork.reserveAddress();
            InetSocketAddress firstControl = LocalNetwork.reserveAddress();
            InetSocketAddress secondControl = LocalNetwork.reserveAddress();
            Process first = serve(rig, address, firstControl);
            Process second = null;
            try {
                awaitReadyCheck(firstControl, rig, list);
                HttpConnection openClient = HttpConnection.connect(address);
                openClient.write(Rig.get("kept", ""));
                assertEquals("kept", openClient.read().text());
                HttpConnection blockedClient = HttpConnection.connect(address);
                blockedClient.write(Rig.get("held", ""));
                second = serve(rig, address, secondControl);
                awaitListening(secondControl);
                long listens = System.nanoTime();
                awaitReadyCheck(secondControl, rig, list);
                assertTrue(
                        System.nanoTime() - listens > 1_000_000_000L,
                        "ready before its warm-up has ended");
                awaitConnectionClose(address);
                first.toHandle().destroy();
                while (Rig.sendCommand(firstControl, "check\n").startsWith("done")) {
                    Thread.sleep(1);
                }
                openClient.write(Rig.get("again", ""));
                for (int i = 0; first.isAlive(); i++) {
                    try (HttpConnection client = HttpConnection.connect(address)) {
                        client.write(Rig.get("r" + i, ""));
                        assertEquals("r" + i, client.read().text());
                    }
                    if (i == 20) {
                        Message lastResponse = openClient.read();
                        assertEquals("again", lastResponse.text());
                        assertEquals("close", lastResponse.header("Connection"));
                        release.countDown();
                        assertEquals("held", blockedClient.read().text());
                    }
                }
                assertEquals(0, first.exitValue());
                assertTrue(Rig.sendCommand(secondControl, "check\n").startsWith("done"));
            } finally {
                first.destroyForcibly();
                if (second != null) {
                    second.destroyForcibly();
                }
            }
        }
    }

    /** While two processes serve, the older one closes a few client connections at a time. */
    private static void awaitConnectionClose(InetSocketAddress address) throws IOException {
        String connection = null;
        for (int i = 0; connection == null; i++) {
            try (HttpConnection client = HttpConnection.connect(address)) {
                for (int n = 0; n < 10 && connection == null; n++) {
                    client.write(Rig.get("s" + i + "." + n, ""));
                    connection = client.read().header("Connection");
                }
            }
        }
        assertEquals("close", connection);
    }

    /** Any open watch may receive a list, so lists are supplied until this process has one. */
    private static void awaitReadyCheck(InetSocketAddress control, Rig rig, String list)
            throws InterruptedException, IOException {
        awaitListening(control);
        while (!Rig.sendCommand(control, "check\n").startsWith("done")) {
            rig.lines.add(list);
            Thread.sleep(10);
        }
    }

    private static Process serve(Rig rig, InetSocketAddress address, InetSocketAddress control)
            throws IOException {
        return serve(rig, address, Map.of("PROXY_CONTROL", "127.0.0.1:" + control.getPort()));
    }

    /** The signal arrives when the proxy is set up but does not listen yet. */
    @Test
    void stopsListeningIfTheSignalArrivedBeforeItListened() throws Exception {
        try (Rig rig = new Rig(folder).control()) {
            ProxyConfig config = ProxyConfig.read(rig.environment());
            ProxyServer server =
                    ProxyServer.create(config, new EventLog(System.err), passhatch.Logic::new);
            // The parent of this process stands for a newer one that serves.
            writeNewerProcess("passhatch.pid");
            writeNewerProcess("passhatch.ready");
            server.shutDown();
            server.awaitSubmittedTasks();
            server.listen(config);
            awaitNotListening(server.address());
            assertFalse(server.awaitTermination(0), "it has already terminated");
            assertTrue(server.awaitTermination(HttpConnection.TIMEOUT_MS));
        }
    }

    /** Writes the process id of this process's parent, which stands for a newer process. */
    private void writeNewerProcess(String file) throws IOException {
        Files.writeString(
                folder.resolve(file),
                String.valueOf(ProcessHandle.current().parent().orElseThrow().pid()));
    }

    /**
     * A newer process that is not ready takes nothing over: this one serves as if it were alone.
     */
    @Test
    void keepsServingAfterTheSignalIfTheNewerProcessIsNotReady() throws Exception {
        try (Rig rig = new Rig(folder).control()) {
            ScriptedServer backend =
                    rig.backend((connection, request) -> connection.respond("200 OK", "s"));
            rig.start(Rig.entry("s", backend.address(), "SERVING"));
            writeNewerProcess("passhatch.pid");
            HttpConnection open = rig.client();
            rig.proxy().shutDown();
            rig.proxy().awaitSubmittedTasks();
            open.write(Rig.get("open", ""));
            Message response = open.read();
            assertEquals("s", response.text());
            assertNull(
                    response.header("Connection"),
                    "closed although the newer process is not ready");
            assertEquals("s", rig.send(Rig.get("new", "")).text());
        }
    }

    /**
     * The first reload is blocked while it reads the file; it must not restore the address that it
     * has read.
     */
    @Test
    void aReloadThatReadsLateDoesNotUndoANewerOne() throws Exception {
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend =
                    rig.backend((connection, request) -> connection.respond("200 OK", "s"));
            ScriptedServer newer = rig.backend(ScriptedServer.NO_RESPONSE);
            ScriptedServer older = rig.backend(ScriptedServer.NO_RESPONSE);
            rig.start(Rig.entry("s", backend.address(), "SERVING"));
            Path file = folder.resolve("config.json");
            Path pipe = folder.resolve("pipe");
            assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
            Files.move(pipe, file, StandardCopyOption.REPLACE_EXISTING);
            Map<String, String> env = Map.of("PROXY_CONFIG", file.toString());
            Thread first = new Thread(() -> rig.proxy().reload(env));
            first.start();
            Thread second = new Thread(() -> rig.proxy().reload(env));
            // Opens only once the first reload reads.
            try (OutputStream written = Files.newOutputStream(file)) {
                Files.writeString(folder.resolve("new"), discoveryAt(newer));
                Files.move(folder.resolve("new"), file, StandardCopyOption.REPLACE_EXISTING);
                second.start();
                while (second.getState() != Thread.State.BLOCKED && second.isAlive()) {
                    Thread.onSpinWait();
                }
                written.write(discoveryAt(older).getBytes(StandardCharsets.UTF_8));
            }
            first.join();
            second.join();
            rig.proxy().awaitSubmittedTasks();
            String last =
                    rig.log
                            .toString(StandardCharsets.UTF_8)
                            .lines()
                            .filter(line -> line.contains("discovery is at "))
                            .reduce((a, b) -> b)
                            .orElse("");
            assertTrue(last.contains(":" + newer.address().getPort() + " "), last);
        }
    }

    private static String discoveryAt(ScriptedServer server) {
        return "{\"discovery\":\"127.0.0.1:" + server.address().getPort() + "\"}";
    }

    /** A failed start exits with its status, also with all signal handlers installed. */
    @Test
    void exitsWithItsStatusIfItCannotListen() throws Exception {
        try (Rig rig = new Rig(folder);
                ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Process process = serve(rig, (InetSocketAddress) taken.getLocalSocketAddress());
            assertTrue(process.waitFor(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(2, process.exitValue());
        }
    }

    /**
     * No request accepted on a connection may be lost when the connection is closed after a
     * response.
     */
    @Test
    void servesAllAcceptedRequestsOfAConnectionBeforeItCloses() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend =
                    rig.backend(
                            (connection, request) -> {
                                if (request.header("X-Request-Id").startsWith("held")) {
                                    release.await();
                                }
                                connection.respond("200 OK", request.header("X-Request-Id"));
                            });
            rig.limit("connectTimeoutUs", 2_000_000)
                    .start(
                            Rig.entry("s", backend.address(), "SERVING"),
                            Rig.entry("t", backend.address(), "SERVING"),
                            Rig.entry("u", backend.address(), "SERVING"));
            HttpConnection open = rig.client();
            open.write(Rig.get("before", ""));
            assertEquals("before", open.read().text());
            HttpConnection many = rig.client();
            for (int i = 0; i < 3; i++) {
                many.write(Rig.get("held" + i, ""));
            }
            for (int i = 0; i < 4; i++) {
                backend.nextRequest();
            }
            rig.proxy().shutDown();
            for (int i = 0; staysOpen(open, "r" + i); i++) {
                Thread.onSpinWait();
            }
            release.countDown();
            for (int i = 0; i < 3; i++) {
                Message response = many.read();
                assertEquals("held" + i, response.text());
                assertEquals(i == 2 ? "close" : null, response.header("Connection"));
            }
            assertNull(many.read());
            assertTrue(rig.proxy().awaitTermination(HttpConnection.TIMEOUT_MS));
        }
    }

    /**
     * Whether a client's connection stays open; it is closed with a response or while it is idle.
     */
    private static boolean staysOpen(HttpConnection client, String id) {
        try {
            client.write(Rig.get(id, ""));
            Message response = client.read();
            return response != null && response.header("Connection") == null;
        } catch (IOException closed) {
            return false;
        }
    }

    /**
     * A signal may arrive while the file is only partly written: nothing changes, and one line is
     * logged.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{\"discovery\":\"127.0.",
                "null",
                "[]",
                "{\"discovery\":7}",
                "{\"discovery\":\"nowhere\"}"
            })
    void anUnreadableConfigurationAtAReloadChangesNothing(String written) throws Exception {
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend =
                    rig.backend((connection, request) -> connection.respond("200 OK", "s"));
            rig.start(Rig.entry("s", backend.address(), "SERVING"));
            rig.discovery().nextRequest();
            Files.writeString(folder.resolve("config.json"), written);
            rig.proxy().reload(Map.of("PROXY_CONFIG", folder.resolve("config.json").toString()));
            rig.awaitLog("the configuration stays as it is: ");
            assertEquals("s", rig.send(Rig.get("a", "")).text());
            rig.lines.add(Rig.END_OF_WATCH);
            assertTrue(
                    rig.discovery().nextRequest().startLine().contains("from=8"),
                    "the address of discovery changed");
        }
    }

    /**
     * In a rolling restart the other proxy may not be back yet, so these clients have no
     * alternative.
     */
    @Test
    void servesOpenConnectionsAfterItHasStoppedListening() throws Exception {
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend =
                    rig.backend(
                            (connection, request) ->
                                    connection.respond("200 OK", request.header("X-Deadline")));
            rig.start(Rig.entry("s", backend.address(), "SERVING"));
            HttpConnection open = rig.client();
            open.write(Rig.get("before", ""));
            assertEquals(200, open.read().status());
            rig.proxy().shutDown();
            awaitNotListening(rig.proxy().address());
            open.write(Rig.get("after", ""));
            Message response = open.read();
            assertNull(response.header("Connection"), "closed long before SIGKILL");
            long leftUs = Long.parseLong(response.text().replace("u", ""));
            assertTrue(leftUs < 3_700_000, "too much time to respond before SIGKILL: " + leftUs);
            assertNull(open.read(), "still open at the end");
            assertTrue(rig.proxy().awaitTermination(HttpConnection.TIMEOUT_MS));
        }
    }

    /**
     * After SIGHUP the proxy uses the configured address of discovery, and accepted requests are
     * served.
     */
    @Test
    void changesTheAddressOfDiscoveryAtSighupAndKeepsServing() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Rig rig = new Rig(folder)) {
            ScriptedServer old =
                    rig.backend(
                            (connection, request) -> {
                                release.await();
                                connection.respond("200 OK", "old");
                            });
            rig.lines.add(Rig.list(8, true, Rig.entry("s", old.address(), "SERVING")));
            ScriptedServer next =
                    rig.backend((connection, request) -> connection.respond("200 OK", "next"));
            String list = Rig.list(9, true, Rig.entry("t", next.address(), "SERVING"));
            ScriptedServer other =
                    rig.backend(
                            (connection, request) ->
                                    connection.write(
                                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                                    + Integer.toHexString(list.length() + 1)
                                                    + "\r\n"
                                                    + list
                                                    + "\n\r\n"));
            InetSocketAddress address = LocalNetwork.reserveAddress();
            Process process = serve(rig, address);
            try {
                awaitListening(address);
                Rig.awaitReady(address);
                rig.discovery().nextRequest();
                HttpConnection blockedClient = HttpConnection.connect(address);
                blockedClient.write(Rig.get("held", ""));
                old.nextRequest();
                rig.writeDiscoveryAddress(other.address());
                assertEquals(
                        0,
                        new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid()))
                                .start()
                                .waitFor());
                assertTrue(other.nextRequest().startLine().contains("watch=1&from=8"));
                release.countDown();
                assertEquals("old", blockedClient.read().text());
                String served = "";
                for (int i = 0; !served.equals("next"); i++) {
                    try (HttpConnection client = HttpConnection.connect(address)) {
                        client.write(Rig.get("r" + i, ""));
                        served = client.read().text();
                    }
                }
                assertTrue(process.isAlive());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** As under nohup: the JVM leaves the signal ignored, and the log has to say so. */
    @Test
    void logsThatSighupIsIgnoredIfStartedSo() throws Exception {
        try (Rig rig = new Rig(folder)) {
            Map<String, String> env = new HashMap<>(rig.environment());
            InetSocketAddress address = LocalNetwork.reserveAddress();
            env.put("PROXY_LISTEN", "127.0.0.1:" + address.getPort());
            ProcessBuilder builder = command(env);
            builder.command().addAll(0, List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
            Process process = builder.start();
            try {
                awaitListening(address);
                process.toHandle().destroy();
                String log =
                        new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
                assertTrue(log.contains("SIGHUP is ignored since the start"), log);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static Process serve(Rig rig, InetSocketAddress address) throws IOException {
        return serve(rig, address, Map.of());
    }

    private static Process serve(Rig rig, InetSocketAddress address, Map<String, String> more)
            throws IOException {
        Map<String, String> env = new HashMap<>(rig.environment());
        env.putAll(more);
        env.put("PROXY_LISTEN", "127.0.0.1:" + address.getPort());
        return command(env).start();
    }

    private static ProcessBuilder command(Map<String, String> env) {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder =
                new ProcessBuilder(
                        java,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "passhatch.cli.Main",
                        "serve");
        builder.environment().putAll(env);
        return builder;
    }

    private static void awaitListening(InetSocketAddress address) throws InterruptedException {
        while (!listens(address)) {
            Thread.sleep(10);
        }
    }

    private static void awaitNotListening(InetSocketAddress address) throws InterruptedException {
        while (listens(address)) {
            Thread.sleep(10);
        }
    }

    private static boolean listens(InetSocketAddress address) {
        try (HttpConnection connection = HttpConnection.connect(address)) {
            return connection.socket.isConnected();
        } catch (IOException refused) {
            return false;
        }
    }
}
