package passhatch.proxy;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import passhatch.Balancer;
import passhatch.proxy.HttpConnection.Message;
import passhatch.proxy.base.EventLog;

/**
 * A proxy under test with its discovery service. Tests supply the lists of backends line by line.
 */
final class Rig implements Closeable {

    private final Map<String, Object> limits =
            new HashMap<>(
                    Map.of(
                            "maxAttempts",
                            3,
                            "cancel",
                            true,
                            "probes",
                            false,
                            "retryAfter",
                            true,
                            "maxRetryAfterUs",
                            2_000_000,
                            "maxStreams",
                            1,
                            "keepaliveUs",
                            10_000_000,
                            "connectTimeoutUs",
                            8_000_000));
    private final List<Closeable> open = new ArrayList<>();
    final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final Path folder;
    private final ScriptedServer discovery;
    private InetSocketAddress discoveryAddress;
    private int aimUs = 9_000_000;
    private int dedupWindowUs = 9_000_000;
    private int deadlineUs = 10_000_000;
    private String safeClassName = "board";
    private int sockets = 256;
    private int memoryMb = 144;
    private String control;
    private boolean indented;
    private boolean sendsEmptyLines = true;
    private String discoveryMode = "pushed";
    private String initialList = list(7, true);
    private ProxyServer proxy;
    private ProxyServer.BalancerFactory balancerFactory = passhatch.Logic::new;

    /** Put into {@link #lines}, ends the watch. */
    static final String END_OF_WATCH = "end";

    /** Makes discovery reject the next watch, as its version is no longer known. */
    static final String UNKNOWN_VERSION = "forgotten";

    /** Makes discovery leave the next watch without a response. */
    static final String NO_RESPONSE = "unanswered";

    /** A watch receives an empty line after this time without a change. */
    private static final long EMPTY_LINE_INTERVAL_MS = 2_000;

    Rig(Path folder) throws IOException {
        this.folder = folder;
        this.discovery =
                new ScriptedServer(
                        (connection, request) -> {
                            if (!request.startLine().contains("watch=1")) {
                                connection.respond("200 OK", formatted(lines.take()));
                                return;
                            }
                            if (NO_RESPONSE.equals(lines.peek())) {
                                lines.take();
                                return;
                            }
                            if (UNKNOWN_VERSION.equals(lines.peek())) {
                                lines.take();
                                connection.respond("410 Gone", "");
                                return;
                            }
                            connection.write(
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            for (String line = lines.take();
                                    !line.equals(END_OF_WATCH);
                                    line = nextLine()) {
                                String text = formatted(line) + "\n";
                                connection.write(
                                        Integer.toHexString(text.length())
                                                + "\r\n"
                                                + text
                                                + "\r\n");
                            }
                            connection.reset();
                        });
        open.add(discovery);
        discoveryAddress = discovery.address();
    }

    /**
     * Gives the proxy an address of discovery that refuses connections. Its port stays reserved, as
     * another process may listen at the port of a server that was closed.
     */
    Rig unreachableDiscovery() throws IOException {
        Socket reservation = new Socket();
        open.add(reservation);
        reservation.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        discoveryAddress = (InetSocketAddress) reservation.getLocalSocketAddress();
        return this;
    }

    /**
     * Returns the next line that a watch receives after its first one; empty if nothing changes.
     */
    private String nextLine() throws InterruptedException {
        String line =
                sendsEmptyLines
                        ? lines.poll(EMPTY_LINE_INTERVAL_MS, TimeUnit.MILLISECONDS)
                        : lines.take();
        return line == null ? "" : line;
    }

    /** Makes every watch fall silent while nothing changes. */
    Rig silentWatches() {
        sendsEmptyLines = false;
        return this;
    }

    /** Configures a proxy that must ask discovery for changes; by default lists are pushed. */
    Rig listsOnRequest() {
        discoveryMode = "on_request";
        return this;
    }

    /** Sends each list over several lines. */
    Rig indented() {
        indented = true;
        return this;
    }

    private String formatted(String line) throws IOException {
        return indented && line.startsWith("{")
                ? JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(JSON.std.mapFrom(line))
                : line;
    }

    Rig limit(String name, Object value) {
        limits.put(name, value);
        return this;
    }

    Rig aimUs(int us) {
        aimUs = us;
        return this;
    }

    /** Sets how long repeats of a keyed request are dropped. */
    Rig dedupWindowUs(int us) {
        dedupWindowUs = us;
        return this;
    }

    /** Sets the deadline of every class. */
    Rig deadlineUs(int us) {
        deadlineUs = us;
        return this;
    }

    /** Sets the name of the class that is safe to repeat. */
    Rig safeClass(String name) {
        safeClassName = name;
        return this;
    }

    Rig memoryMb(int megabytes) {
        memoryMb = megabytes;
        return this;
    }

    Rig sockets(int limit) {
        sockets = limit;
        return this;
    }

    /** Enables the control address, at a port that the proxy chooses. */
    Rig control() {
        return control("127.0.0.1:0");
    }

    Rig control(String address) {
        control = address;
        return this;
    }

    Rig balancerFactory(ProxyServer.BalancerFactory factory) {
        balancerFactory = factory;
        return this;
    }

    /**
     * Returns a decision module that passes the method name and the arguments of each call to the
     * test.
     */
    static Balancer scriptedBalancer(BiConsumer<String, Object[]> onCall) {
        return (Balancer)
                Proxy.newProxyInstance(
                        Balancer.class.getClassLoader(),
                        new Class<?>[] {Balancer.class},
                        (self, method, args) -> {
                            onCall.accept(method.getName(), args);
                            return method.getReturnType() == boolean.class ? true : null;
                        });
    }

    ScriptedServer discovery() {
        return discovery;
    }

    ScriptedServer backend(ScriptedServer.Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(script);
        open.add(server);
        return server;
    }

    static String entry(String name, InetSocketAddress address, String status) {
        return "{\"name\":\""
                + name
                + "\",\"address\":\"127.0.0.1:"
                + address.getPort()
                + "\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,\"status\":\""
                + status
                + "\",\"weight\":1.0,\"since_ms\":0}";
    }

    /** Returns an entry for a serving backend. */
    static String up(String name, ScriptedServer backend) {
        return entry(name, backend.address(), "SERVING");
    }

    static String list(int index, boolean whole, String... entries) {
        return "{\"index\":"
                + index
                + ",\"snapshot\":"
                + whole
                + ",\"endpoints\":["
                + String.join(",", entries)
                + "]}";
    }

    /** Sets the initial list of the proxy; by default it is empty with index 7. */
    Rig initialList(String newList) {
        initialList = newList;
        return this;
    }

    /** Writes the configuration and returns the environment of a proxy. */
    Map<String, String> environment() throws IOException {
        Path file = folder.resolve("config.json");
        Map<String, Object> config =
                new HashMap<>(
                        Map.of(
                                "seed",
                                "00000000000000ff",
                                "limits",
                                Map.of("sockets", sockets, "memory_mb", memoryMb),
                                "known",
                                JSON.std.mapFrom(initialList),
                                "settings",
                                Map.of(
                                        "categories",
                                        List.of(
                                                requestClass(safeClassName, "pure"),
                                                requestClass("buy", "token"),
                                                requestClass("move", "side_effect")),
                                        "tenants",
                                        List.of(Map.of("name", "acme", "quotaPerS", 0)),
                                        "dcs",
                                        List.of("a"),
                                        "machineTypes",
                                        List.of("m"),
                                        "balancers",
                                        1,
                                        "discovery",
                                        discoveryMode,
                                        "limits",
                                        limits,
                                        "rules",
                                        Map.of(
                                                "drainGraceUs",
                                                2_000_000,
                                                "askEveryUs",
                                                10_000_000,
                                                "coldFrom",
                                                0.4,
                                                "coldUs",
                                                1_000_000,
                                                "tipMultiple",
                                                2.5,
                                                "overloadForUs",
                                                1_000_000))));
        if (control != null) {
            config.put("control", control);
        }
        Files.writeString(file, JSON.std.asString(config));
        return Map.of(
                "PROXY_NAME",
                "n0",
                "PROXY_LISTEN",
                "127.0.0.1:0",
                "PROXY_DISCOVERY",
                "127.0.0.1:" + discoveryAddress.getPort(),
                "PROXY_CONFIG",
                file.toString(),
                "TMPDIR",
                folder.toString());
    }

    private Map<String, Object> requestClass(String name, String effect) {
        return Map.of(
                "name",
                name,
                "effect",
                effect,
                "goalTimeUs",
                aimUs,
                "deadlineUs",
                deadlineUs,
                "worth",
                1,
                "dedupWindowUs",
                dedupWindowUs,
                "group",
                "all");
    }

    /** Writes the configuration again, with discovery at another address. */
    void writeDiscoveryAddress(InetSocketAddress address) throws IOException {
        Path file = folder.resolve("config.json");
        Map<String, Object> config = new HashMap<>(JSON.std.mapFrom(Files.readString(file)));
        config.put("discovery", "127.0.0.1:" + address.getPort());
        Path written = folder.resolve("config.new");
        Files.writeString(written, JSON.std.asString(config));
        Files.move(written, file, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts the proxy and waits until it has the list. */
    Rig start(String... entries) throws Exception {
        lines.add(list(8, true, entries));
        proxy =
                ProxyServer.start(
                        ProxyConfig.read(environment()),
                        new EventLog(new PrintStream(log, true, StandardCharsets.UTF_8)),
                        balancerFactory);
        awaitReady(proxy.address());
        return this;
    }

    static void awaitReady(InetSocketAddress address) throws IOException, InterruptedException {
        long end = System.nanoTime() + HttpConnection.TIMEOUT_MS * 1_000_000L;
        while (System.nanoTime() < end) {
            try (HttpConnection client = HttpConnection.connect(address)) {
                client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
                if (client.read().status() == 200) {
                    return;
                }
            }
            Thread.sleep(5);
        }
        throw new AssertionError("the proxy did not become ready");
    }

    /** Waits until the log contains the text. */
    void awaitLog(String text) throws InterruptedException {
        long end = System.nanoTime() + HttpConnection.TIMEOUT_MS * 1_000_000L;
        while (!log.toString(StandardCharsets.UTF_8).contains(text)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("no log line with '" + text + "' in: " + log);
            }
            Thread.sleep(5);
        }
    }

    ProxyServer proxy() {
        return proxy;
    }

    HttpConnection client() throws IOException {
        HttpConnection client = HttpConnection.connect(proxy.address());
        open.add(client);
        return client;
    }

    /** Sends a command to the control address and returns the whole response. */
    String sendCommand(String line) throws IOException {
        return sendCommand(proxy.controlAddress(), line);
    }

    static String sendCommand(InetSocketAddress control, String line) throws IOException {
        try (HttpConnection caller = HttpConnection.connect(control)) {
            caller.write(line);
            return caller.readAll();
        }
    }

    /** Returns the value of one metric. */
    long metric(String name) throws IOException {
        return sendCommand("vars\n")
                .lines()
                .filter(line -> line.startsWith("app_" + name + " "))
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf(' ') + 1)))
                .findFirst()
                .orElseThrow();
    }

    /** Waits until a metric has a value, as it may be updated just after the response is sent. */
    void awaitMetric(String name, long value) throws IOException, InterruptedException {
        long end = System.nanoTime() + HttpConnection.TIMEOUT_MS * 1_000_000L;
        while (metric(name) != value) {
            if (System.nanoTime() > end) {
                throw new AssertionError(name + " is not " + value + ":\n" + sendCommand("vars\n"));
            }
            Thread.sleep(5);
        }
    }

    static String get(String id, String more) {
        return "GET /board/7?x=1 HTTP/1.1\r\nHost: p\r\nX-Request-Id: "
                + id
                + "\r\n"
                + more
                + "\r\n";
    }

    static String post(String path, String id, String more) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: p\r\nContent-Length: 0\r\nX-Request-Id: "
                + id
                + "\r\n"
                + more
                + "\r\n";
    }

    /** Sends one request on a connection of its own and returns the response. */
    Message send(String request) throws IOException {
        try (HttpConnection client = HttpConnection.connect(proxy.address())) {
            client.write(request);
            return client.read();
        }
    }

    /** Fails if the proxy still holds anything of its clients after they have left. */
    @Override
    public void close() throws IOException {
        for (Closeable c : open) {
            if (c instanceof HttpConnection) {
                c.close();
            }
        }
        String left = proxy == null ? "" : unreleasedResources();
        if (proxy != null) {
            proxy.stopNow();
        }
        for (Closeable c : open) {
            c.close();
        }
        if (!left.isEmpty()) {
            throw new AssertionError("the proxy still holds " + left);
        }
    }

    /**
     * Describes what the proxy still holds after it had time to release everything; empty if
     * nothing.
     */
    String unreleasedResources() {
        long end = System.nanoTime() + HttpConnection.TIMEOUT_MS * 1_000_000L;
        String left = "";
        try {
            do {
                Thread.sleep(left.isEmpty() ? 0 : 5);
                left = proxy.isShuttingDown() ? "" : proxy.unreleasedResources();
            } while (!left.isEmpty() && System.nanoTime() < end);
        } catch (RejectedExecutionException ended) {
            return "";
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        return left;
    }
}
