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
public final class ProxyProcess {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** A port may be taken by another between its choice and its use. */
    private static final int MAX_START_ATTEMPTS = 3;

    private static final long POLL_INTERVAL_MS = 10;

    /** What all proxies of a drill have in common. */
    public record SharedConfig(
            Path jar,
            Path folder,
            Scenario scenario,
            InetSocketAddress discovery,
            List<String> options) {

        /**
         * For proxies that run without a scenario: one balancer with retries, and the classes of
         * requests that a scenario has by default.
         */
        public static SharedConfig standalone(
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
            return new SharedConfig(
                    jar, folder, ScenarioReader.read("alone", scenario), discovery, options);
        }
    }

    private final int index;
    private final SharedConfig shared;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress peerListen;
    private final Path folder;
    private InetSocketAddress discovery;
    private InetSocketAddress listen;
    private InetSocketAddress control;
    private ChildProcess process;

    /** The list in its configuration; null where it starts without one. */
    private Map<String, Object> knownServers;

    /** A proxy that is not started yet; its folder is made. */
    public ProxyProcess(
            int index,
            SharedConfig shared,
            List<InetSocketAddress> peers,
            InetSocketAddress peerListen)
            throws IOException {
        this.index = index;
        this.shared = shared;
        this.peers = peers;
        this.discovery = shared.discovery();
        this.peerListen = peerListen;
        this.folder = Files.createDirectories(shared.folder().resolve(name()));
        choosePorts();
    }

    /** Its name in logs and reports. */
    public String name() {
        return "proxy-" + (index + 1);
    }

    int index() {
        return index;
    }

    /** Where it takes calls; final once it has started. */
    public InetSocketAddress listen() {
        return listen;
    }

    /** Its process. */
    public ChildProcess process() {
        return process;
    }

    private void choosePorts() throws IOException {
        listen = LocalNetwork.freeTcpAddress();
        control = LocalNetwork.freeTcpAddress();
        prepareProcess();
    }

    /** Its next start finds this list of discovery in its configuration. */
    void setKnownServers(Map<String, Object> list) throws IOException {
        knownServers = list;
        writeConfiguration();
    }

    /** Its configuration names discovery at this address from now on, and a SIGHUP says so. */
    void changeDiscoveryAddress(InetSocketAddress address)
            throws IOException, InterruptedException {
        discovery = address;
        writeConfiguration();
        if (!process.signal("HUP")) {
            throw new IOException(name() + " does not run");
        }
    }

    private Path writeConfiguration() throws IOException {
        return Files.writeString(
                folder.resolve("config.json"), JSON.writeValueAsString(configuration()));
    }

    private void prepareProcess() throws IOException {
        Path tmp = Files.createDirectories(folder.resolve("tmp"));
        Path config = writeConfiguration();
        Map<String, String> env =
                Map.of(
                        "PROXY_NAME",
                        name(),
                        "PROXY_LISTEN",
                        LocalNetwork.format(listen),
                        "PROXY_CONTROL",
                        LocalNetwork.format(control),
                        "PROXY_DISCOVERY",
                        LocalNetwork.format(discovery),
                        "PROXY_CONFIG",
                        config.toString(),
                        "TMPDIR",
                        tmp.toString());
        process = new ChildProcess(name(), command(), env, folder.resolve("log"));
    }

    /** As {@code deploy/serve.sh} starts it. */
    private List<String> command() {
        int heap = Math.max(24, Math.min(48, shared.scenario().proxies().memoryMb() / 3));
        List<String> command =
                new ArrayList<>(openFilesPrefix(shared.scenario().proxies().openFiles()));
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
    private static List<String> openFilesPrefix(int maxOpenFiles) {
        return maxOpenFiles == 0
                ? List.of()
                : List.of("/bin/sh", "-c", "ulimit -n " + maxOpenFiles + " && exec \"$@\"", "sh");
    }

    private Map<String, Object> configuration() {
        Scenario scenario = shared.scenario();
        Map<String, Object> settings = new HashMap<>();
        settings.put(
                "categories", scenario.classes().stream().map(ProxyProcess::category).toList());
        settings.put("dcs", List.of("a"));
        settings.put("machineTypes", List.of("m"));
        settings.put("balancers", scenario.proxies().count());
        settings.put("me", index);
        settings.put("discovery", scenario.proxies().asks() ? "on_request" : "pushed");
        settings.put(
                "limits",
                Map.of(
                        "maxAttempts",
                        scenario.proxies().retries() ? 3 : 1,
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
                        scenario.backends().coldShare(),
                        "coldUs",
                        Math.max(
                                1,
                                TimeUnit.MICROSECONDS.convert(scenario.backends().coldDuration())),
                        "tipMultiple",
                        2.5,
                        "overloadForUs",
                        1_000_000,
                        "askEveryUs",
                        10_000_000));
        Map<String, Object> config = new HashMap<>();
        config.put("name", name());
        config.put("seed", Long.toHexString(scenario.seed() * 1_000_003 + index));
        config.put(
                "limits",
                Map.of(
                        "cores",
                        1.0,
                        "memory_mb",
                        scenario.proxies().memoryMb(),
                        "sockets",
                        scenario.proxies().sockets()));
        config.put("listen", LocalNetwork.format(listen));
        config.put("control", LocalNetwork.format(control));
        config.put("discovery", LocalNetwork.format(discovery));
        config.put("peer_listen", LocalNetwork.format(peerListen));
        config.put("peers", peers.stream().map(LocalNetwork::format).toList());
        config.put("settings", settings);
        if (knownServers != null) {
            config.put("known", knownServers);
        }
        return config;
    }

    private static Map<String, Object> category(Scenario.RequestClass requestClass) {
        String effect =
                switch (requestClass.effect()) {
                    case SAFE -> "pure";
                    case KEYED -> "token";
                    case UNSAFE -> "side_effect";
                };
        return Map.of(
                "name",
                requestClass.name(),
                "effect",
                effect,
                "goalTimeUs",
                TimeUnit.MICROSECONDS.convert(requestClass.aim()),
                "deadlineUs",
                TimeUnit.MICROSECONDS.convert(requestClass.deadline()),
                "worth",
                1,
                "dedupWindowUs",
                6_000_000,
                "group",
                "all");
    }

    /** Starts it for the first time; where its port was taken meanwhile, at others. */
    public void startWithPortRetry() throws IOException, InterruptedException {
        for (int attempt = 1; ; attempt++) {
            process.start();
            // A taken port shows as an end within the start; all else shows later, as it does not
            // get ready.
            if (awaitListeningOrExit()
                    || attempt == MAX_START_ATTEMPTS
                    || !process.logTail().contains("Address already in use")) {
                return;
            }
            choosePorts();
        }
    }

    private boolean awaitListeningOrExit() throws InterruptedException {
        while (process.isAlive() && !process.logTail().contains("listening on") && !isReady()) {
            Thread.sleep(POLL_INTERVAL_MS);
        }
        return process.isAlive();
    }

    /** Waits until it says that it is ready; false where it has ended or the time is over. */
    public boolean awaitReady(long timeoutMs) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (System.nanoTime() < endNs && process.isAlive()) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        return false;
    }

    private boolean isReady() {
        return ask("check").startsWith("done");
    }

    /** What its control address answers to a call; nothing where it does not answer. */
    String ask(String call) {
        return LocalNetwork.ask(control, call);
    }
}
