package passhatch.lab.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One proxy as a process of its own, with its configuration, its addresses and its log. */
public final class ProxyChild {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** A port may be taken by another between its choice and its use. */
    private static final int TRIES = 3;

    private static final long POLL_MS = 10;

    /** What all proxies of a drill have in common. */
    public record Shared(
            Path jar,
            Path folder,
            Scenario scenario,
            InetSocketAddress discovery,
            List<String> options) {

        /**
         * For proxies that run without a scenario: one balancer with retries, and the classes of
         * requests that a scenario has by default.
         */
        public static Shared alone(
                Path jar,
                Path folder,
                long seed,
                int memoryMb,
                InetSocketAddress discovery,
                List<String> options) {
            String scenario =
                    """
                    name = "alone"
                    seed = %d
                    proxies = {count = 1, memory_mb = %d}
                    expect = {lost = 0}
                    """
                            .formatted(seed, memoryMb);
            return new Shared(
                    jar, folder, ScenarioReader.read("alone", scenario), discovery, options);
        }
    }

    private final int number;
    private final Shared shared;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress peerListen;
    private final Path folder;
    private InetSocketAddress discovery;
    private InetSocketAddress listen;
    private InetSocketAddress control;
    private Child child;

    /** The list in its configuration; null where it starts without one. */
    private Map<String, Object> known;

    /** A proxy that is not started yet; its folder is made. */
    public ProxyChild(
            int number, Shared shared, List<InetSocketAddress> peers, InetSocketAddress peerListen)
            throws IOException {
        this.number = number;
        this.shared = shared;
        this.peers = peers;
        this.discovery = shared.discovery();
        this.peerListen = peerListen;
        this.folder = Files.createDirectories(shared.folder().resolve(name()));
        chooseAddresses();
    }

    /** Its name in logs and reports. */
    public String name() {
        return "proxy-" + (number + 1);
    }

    int number() {
        return number;
    }

    /** Where it takes calls; final once it has started. */
    public InetSocketAddress listen() {
        return listen;
    }

    /** Its process. */
    public Child child() {
        return child;
    }

    private void chooseAddresses() throws IOException {
        listen = Local.freePort();
        control = Local.freePort();
        configure();
    }

    /** Its next start finds this list of discovery in its configuration. */
    void remember(Map<String, Object> list) throws IOException {
        known = list;
        writeConfiguration();
    }

    /** Its configuration names discovery at this address from now on, and a SIGHUP says so. */
    void moveDiscovery(InetSocketAddress address) throws IOException, InterruptedException {
        discovery = address;
        writeConfiguration();
        if (!child.signal("HUP")) {
            throw new IOException(name() + " does not run");
        }
    }

    private Path writeConfiguration() throws IOException {
        return Files.writeString(
                folder.resolve("config.json"), JSON.writeValueAsString(configuration()));
    }

    private void configure() throws IOException {
        Path tmp = Files.createDirectories(folder.resolve("tmp"));
        Path config = writeConfiguration();
        Map<String, String> env =
                Map.of(
                        "PROXY_NAME",
                        name(),
                        "PROXY_LISTEN",
                        Local.text(listen),
                        "PROXY_CONTROL",
                        Local.text(control),
                        "PROXY_DISCOVERY",
                        Local.text(discovery),
                        "PROXY_CONFIG",
                        config.toString(),
                        "TMPDIR",
                        tmp.toString());
        child = new Child(name(), command(), env, folder.resolve("log"));
    }

    /** As {@code deploy/serve.sh} starts it. */
    private List<String> command() {
        int heap = Math.max(24, Math.min(48, shared.scenario().proxies().memoryMb() / 3));
        List<String> command =
                new ArrayList<>(withOpenFiles(shared.scenario().proxies().openFiles()));
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-XX:+UseSerialGC",
                        "-XX:-UsePerfData",
                        "-Xshare:auto",
                        "-Xms24m",
                        "-Xmx" + heap + "m",
                        "-Xss512k",
                        "-XX:MaxMetaspaceSize=40m",
                        "-XX:ReservedCodeCacheSize=24m",
                        "-XX:MaxDirectMemorySize=" + heap / 3 + "m",
                        "-Dio.netty.jfr.enabled=false"));
        command.addAll(shared.options());
        command.addAll(List.of("-jar", shared.jar().toString(), "serve"));
        return command;
    }

    /** The JVM would raise a limit that is not the hard one as well. */
    private static List<String> withOpenFiles(int most) {
        return most == 0
                ? List.of()
                : List.of("/bin/sh", "-c", "ulimit -n " + most + " && exec \"$@\"", "sh");
    }

    private Map<String, Object> configuration() {
        Scenario s = shared.scenario();
        Map<String, Object> settings = new HashMap<>();
        settings.put("categories", s.classes().stream().map(ProxyChild::category).toList());
        settings.put("dcs", List.of("a"));
        settings.put("machineTypes", List.of("m"));
        settings.put("balancers", s.proxies().count());
        settings.put("me", number);
        settings.put("discovery", s.proxies().asks() ? "on_request" : "pushed");
        settings.put(
                "limits",
                Map.of(
                        "maxAttempts",
                        s.proxies().retries() ? 3 : 1,
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
                        250_000));
        settings.put(
                "rules",
                Map.of(
                        "drainGraceUs",
                        750_000,
                        "coldFrom",
                        s.backends().coldShare(),
                        "coldUs",
                        Math.max(1, TimeUnit.MICROSECONDS.convert(s.backends().coldFor())),
                        "tipMultiple",
                        2.5,
                        "overloadForUs",
                        1_000_000,
                        "askEveryUs",
                        10_000_000));
        Map<String, Object> config = new HashMap<>();
        config.put("name", name());
        config.put("seed", Long.toHexString(s.seed() * 1_000_003 + number));
        config.put(
                "limits",
                Map.of(
                        "cores",
                        1.0,
                        "memory_mb",
                        s.proxies().memoryMb(),
                        "sockets",
                        s.proxies().sockets()));
        config.put("listen", Local.text(listen));
        config.put("control", Local.text(control));
        config.put("discovery", Local.text(discovery));
        config.put("peer_listen", Local.text(peerListen));
        config.put("peers", peers.stream().map(Local::text).toList());
        config.put("settings", settings);
        if (known != null) {
            config.put("known", known);
        }
        return config;
    }

    private static Map<String, Object> category(Scenario.RequestKind kind) {
        String effect =
                switch (kind.effect()) {
                    case SAFE -> "pure";
                    case KEYED -> "token";
                    case UNSAFE -> "side_effect";
                };
        return Map.of(
                "name",
                kind.name(),
                "effect",
                effect,
                "goalTimeUs",
                TimeUnit.MICROSECONDS.convert(kind.aim()),
                "deadlineUs",
                TimeUnit.MICROSECONDS.convert(kind.deadline()),
                "worth",
                1,
                "dedupWindowUs",
                6_000_000,
                "group",
                "all");
    }

    /** Starts it for the first time; where its port was taken meanwhile, at others. */
    public void firstStart() throws IOException, InterruptedException {
        for (int i = 1; ; i++) {
            child.start();
            // A taken port shows as an end within the start; all else shows later, as it does not
            // get ready.
            if (awaitListeningOrEnd()
                    || i == TRIES
                    || !child.logEnd().contains("Address already in use")) {
                return;
            }
            chooseAddresses();
        }
    }

    private boolean awaitListeningOrEnd() throws InterruptedException {
        while (child.alive() && !child.logEnd().contains("listening on") && !ready()) {
            Thread.sleep(POLL_MS);
        }
        return child.alive();
    }

    /** Waits until it says that it is ready; false where it has ended or the time is over. */
    public boolean awaitReady(long ms) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() < endNs && child.alive()) {
            if (ready()) {
                return true;
            }
            Thread.sleep(POLL_MS);
        }
        return false;
    }

    private boolean ready() {
        return ask("check").startsWith("done");
    }

    /** What its control address answers to a call; nothing where it does not answer. */
    String ask(String call) {
        return Local.ask(control, call);
    }
}
