package passhatch.proxy;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import passhatch.Logic;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.flow.RequestBody;

/**
 * Starts a proxy on loopback, sends it a few requests and stops it. The build runs this class so
 * that the JVM can archive the classes needed for serving: with half a core, most of the start-up
 * time is spent on loading those classes.
 */
public final class Rehearsal {

    private static final String LONG_BODY = "x".repeat(100_000);
    private static final int TIMEOUT_MS = 10_000;

    private Rehearsal() {}

    /**
     * Runs the rehearsal. Always returns 0, as the build can continue without the archive, which
     * only makes starts faster.
     */
    public static int runAndReport(PrintStream err) {
        try {
            run(err);
        } catch (Exception e) {
            err.println("passhatch: rehearsal failed, starts will be slower: " + e);
        }
        return 0;
    }

    static void run(PrintStream err) throws Exception {
        Path config = Files.createTempFile("rehearsal", ".json");
        try (ServerSocket backend = startServer(Rehearsal::respondAsBackend);
                ServerSocket discovery =
                        startServer((in, out) -> respondAsDiscovery(in, out, address(backend)))) {
            Files.writeString(config, JSON.std.asString(config()));
            ProxyServer proxy =
                    ProxyServer.start(
                            ProxyConfig.read(
                                    Map.of(
                                            "PROXY_NAME",
                                            "rehearsal",
                                            "PROXY_LISTEN",
                                            "127.0.0.1:0",
                                            "PROXY_CONTROL",
                                            "127.0.0.1:0",
                                            "PROXY_DISCOVERY",
                                            address(discovery),
                                            "PROXY_CONFIG",
                                            config.toString())),
                            new EventLog(err),
                            Logic::new);
            try {
                sendRequests(proxy);
            } finally {
                proxy.stopNow();
                proxy.awaitTermination(TIMEOUT_MS);
            }
        } finally {
            Files.delete(config);
        }
    }

    private static void sendRequests(ProxyServer proxy) throws Exception {
        long deadlineNs = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (!send(proxy.controlAddress(), "check\n").startsWith("done")) {
            if (System.nanoTime() > deadlineNs) {
                throw new IOException("the proxy did not become ready");
            }
            Thread.sleep(10);
        }
        String head =
                " HTTP/1.1\r\nHost: p\r\nConnection: close\r\nX-Deadline: 9000m\r\nX-Request-Id: ";
        expect(proxy, "GET /look" + head + "a\r\n\r\n", "200");
        expect(
                proxy,
                "POST /buy" + head + "b\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi",
                "200");
        expect(
                proxy,
                "POST /buy"
                        + head
                        + "c\r\nIdempotency-Key: k\r\nContent-Length: "
                        + LONG_BODY.length()
                        + "\r\n\r\n"
                        + LONG_BODY,
                "200");
        expect(proxy, "GET /nowhere" + head + "d\r\n\r\n", "404");
        if (!send(proxy.controlAddress(), "vars\n").endsWith("end\n")) {
            throw new IOException("no metrics");
        }
    }

    private static void expect(ProxyServer proxy, String request, String status)
            throws IOException {
        String response = send(proxy.address(), request);
        if (!response.startsWith("HTTP/1.1 " + status)) {
            throw new IOException(
                    "expected status "
                            + status
                            + ": "
                            + response.lines().findFirst().orElse("no response"));
        }
    }

    private static String send(InetSocketAddress address, String text) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    // ---- stand-ins for backend and discovery

    /** Responds to the requests on one connection. */
    private interface Script {
        void respond(BufferedReader in, OutputStream out) throws IOException;
    }

    private static String address(ServerSocket server) {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private static ServerSocket startServer(Script script) throws IOException {
        ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        startDaemon(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        startDaemon(
                                () -> {
                                    script.respond(
                                            new BufferedReader(
                                                    new InputStreamReader(
                                                            socket.getInputStream(),
                                                            StandardCharsets.US_ASCII)),
                                            socket.getOutputStream());
                                    return null;
                                });
                    }
                });
        return server;
    }

    private static void startDaemon(Callable<Void> body) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                body.call();
                            } catch (Exception failed) {
                                // Ignored: either the rehearsal has ended and closed its
                                // sockets, or the rehearsal fails when it does not get the
                                // response.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends short responses to short requests and long responses to long ones. */
    private static void respondAsBackend(BufferedReader in, OutputStream out) throws IOException {
        int length = readHead(in);
        while (length >= 0) {
            for (int i = 0; i < length; i++) {
                in.read();
            }
            String body = length > RequestBody.MAX_REPLAYABLE_BYTES ? LONG_BODY : "hi";
            out.write(
                    ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            length = readHead(in);
        }
    }

    private static void respondAsDiscovery(BufferedReader in, OutputStream out, String backend)
            throws IOException {
        readHead(in);
        String list =
                JSON.std.asString(
                                Map.of(
                                        "index",
                                        1,
                                        "snapshot",
                                        true,
                                        "endpoints",
                                        List.of(
                                                Map.of(
                                                        "name",
                                                        "s",
                                                        "address",
                                                        backend,
                                                        "zone",
                                                        "a",
                                                        "type",
                                                        "m",
                                                        "group",
                                                        0,
                                                        "status",
                                                        "SERVING",
                                                        "weight",
                                                        1.0,
                                                        "since_ms",
                                                        0))))
                        + "\n";
        out.write(
                ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + Integer.toHexString(list.length())
                                + "\r\n"
                                + list
                                + "\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        in.read();
    }

    /**
     * Reads the head of a message and returns the length of its body; -1 if no head was received.
     */
    private static int readHead(BufferedReader in) throws IOException {
        int length = -1;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            length = Math.max(length, 0);
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        return length;
    }

    private static Map<String, Object> config() {
        return Map.of(
                "seed",
                "1",
                "settings",
                Map.of(
                        "categories",
                        List.of(requestClass("look", "pure"), requestClass("buy", "token")),
                        "dcs",
                        List.of("a"),
                        "machineTypes",
                        List.of("m"),
                        "balancers",
                        1,
                        "discovery",
                        "on_request",
                        "limits",
                        Map.of(
                                "maxAttempts",
                                3,
                                "cancel",
                                true,
                                "probes",
                                false,
                                "retryAfter",
                                true,
                                "keepaliveUs",
                                10_000_000),
                        "rules",
                        Map.of(
                                "drainGraceUs",
                                1_000_000,
                                "coldFrom",
                                0.4,
                                "coldUs",
                                1_000_000,
                                "tipMultiple",
                                2.5,
                                "overloadForUs",
                                1_000_000,
                                "askEveryUs",
                                6_000_000)));
    }

    private static Map<String, Object> requestClass(String name, String effect) {
        return Map.of(
                "name",
                name,
                "effect",
                effect,
                "goalTimeUs",
                5_000_000,
                "deadlineUs",
                9_000_000,
                "worth",
                1,
                "dedupWindowUs",
                6_000_000,
                "group",
                "all");
    }
}
