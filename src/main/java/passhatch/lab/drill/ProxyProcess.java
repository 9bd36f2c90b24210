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

/** A proxy that runs as a child process, with its configuration, addresses and log. */
public final class ProxyProcess {

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Maximum number of starts. A start fails if another process takes one of the proxy's ports
     * after the port was chosen and before the proxy uses it.
     */
    private static final int MAX_START_ATTEMPTS = 3;

    private static final long POLL_INTERVAL_MS = 10;

    /** From this memory on, two processes of a proxy share it. */
    private static final int MIN_SHARED_MEMORY_MB = 150;

    private static final int MIN_HEAP_MB = 24;
    private static final int MAX_HEAP_MB = 48;

    /** The configuration that all proxies of a drill share. */
    public record SharedConfig(
            Path jar,
            Path folder,
            Scenario scenario,
            InetSocketAddress discovery,
            List<String> jvmOptions) {

        /**
         * Returns the configuration of a single proxy that runs without a scenario file. The proxy
         * may retry requests, and has the request classes that are the default in scenario files.
         */
        public static SharedConfig standalone(
                Path jar,
                Path folder,
                long seed,
                int memoryMb,
                InetSocketAddress discovery,
                List<String> jvmOptions) {
            String scenario =
                    """
                    name = "alone"
                    seed = %d
                    proxies = {count = 1, memory_mb = %d}
                    expect = {lost = 0}
                    """
                            .formatted(seed, memoryMb);
            return new SharedConfig(
                    jar, folder, ScenarioReader.read("alone", scenario), discovery, jvmOptions);
        }

        /** Returns the configuration of the proxies that the text of a scenario file describes. */
        public static SharedConfig of(
                Path jar, Path folder, String scenario, InetSocketAddress discovery) {
            return new SharedConfig(
                    jar, folder, ScenarioReader.read("scenario", scenario), discovery, List.of());
        }
    }

    private final int index;
    private final SharedConfig sharedConfig;
    private final List<InetSocketAddress> peerAddresses;
    private final InetSocketAddress peerListenAddress;
    private final Path folder;
    private InetSocketAddress discoveryAddress;
    private InetSocketAddress listenAddress;
    private InetSocketAddress controlAddress;
    private ChildProcess process;

    /** Server list in the proxy's configuration; null if the proxy starts without a server list. */
    private Map<String, Object> knownServers;

    /** Creates the proxy's folder and configuration; the proxy is not started yet. */
    public ProxyProcess(
            int index,
            SharedConfig sharedConfig,
            List<InetSocketAddress> peerAddresses,
            InetSocketAddress peerListenAddress)
            throws IOException {
        this.index = index;
        this.sharedConfig = sharedConfig;
        this.peerAddresses = peerAddresses;
        this.discoveryAddress = sharedConfig.discovery();
        this.peerListenAddress = peerListenAddress;
        this.folder = Files.createDirectories(sharedConfig.folder().resolve(name()));
        choosePorts();
    }

    /** Returns the proxy's name in logs and reports. */
    public String name() {
        return "proxy-" + (index + 1);
    }

    int index() {
        return index;
    }

    /**
     * Returns the address at which the proxy accepts requests. The address may change until the
     * first start has completed.
     */
    public InetSocketAddress listenAddress() {
        return listenAddress;
    }

    /** Returns the child process. */
    public ChildProcess process() {
        return process;
    }

    private void choosePorts() throws IOException {
        listenAddress = LocalNetwork.reserveAddress();
        controlAddress = LocalNetwork.reserveAddress();
        prepareProcess();
    }

    /**
     * Writes a server list from discovery to the configuration, which the proxy reads at its next
     * start.
     */
    void setKnownServers(Map<String, Object> list) throws IOException {
        knownServers = list;
        writeConfiguration();
    }

    /** Writes a new address of discovery to the configuration and sends SIGHUP to the proxy. */
    void changeDiscoveryAddress(InetSocketAddress address)
            throws IOException, InterruptedException {
        discoveryAddress = address;
        writeConfiguration();
        if (!process.signal("HUP")) {
            throw new IOException(name() + " does not run");
        }
    }

    private Path configurationFile() {
        return folder.resolve("config.json");
    }

    private void writeConfiguration() throws IOException {
        Files.writeString(configurationFile(), JSON.writeValueAsString(buildConfiguration()));
    }

    private void prepareProcess() throws IOException {
        writeConfiguration();
        process = newProcess(folder.resolve("log"));
    }

    /**
     * Creates a further process of this proxy, with the same configuration and folder, as a change
     * of version starts one beside the first. It is not started yet.
     */
    public ChildProcess newProcessBeside() throws IOException {
        return newProcess(folder.resolve("log-beside"));
    }

    private ChildProcess newProcess(Path logFile) throws IOException {
        Path tmp = Files.createDirectories(folder.resolve("tmp"));
        Map<String, String> environment =
                Map.of(
                        "PROXY_NAME",
                        name(),
                        "PROXY_LISTEN",
                        LocalNetwork.format(listenAddress),
                        "PROXY_CONTROL",
                        LocalNetwork.format(controlAddress),
                        "PROXY_DISCOVERY",
                        LocalNetwork.format(discoveryAddress),
                        "PROXY_CONFIG",
                        configurationFile().toString(),
                        "TMPDIR",
                        tmp.toString());
        return new ChildProcess(name(), buildCommand(), environment, logFile);
    }

    /**
     * Returns the command that starts the proxy, with the JVM options of {@code deploy/serve.sh}.
     */
    private List<String> buildCommand() {
        int heap = heapMb(sharedConfig.scenario().proxies().memoryMb());
        List<String> command =
                new ArrayList<>(openFilesPrefix(sharedConfig.scenario().proxies().openFiles()));
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-XX:+UseSerialGC",
                        "-XX:-UsePerfData",
                        "-Xshare:auto",
                        "-Xms24m",
                        "-Xmx" + heap + "m",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-Xss512k",
                        "-XX:MaxMetaspaceSize=40m",
                        "-XX:ReservedCodeCacheSize=24m",
                        "-XX:MaxDirectMemorySize=" + heap / 3 + "m",
                        "-Dio.netty.jfr.enabled=false"));
        command.addAll(sharedConfig.jvmOptions());
        command.addAll(List.of("-jar", sharedConfig.jar().toString(), "serve"));
        return command;
    }

    /**
     * Returns the limit on the heap that {@code deploy/serve.sh} derives from the configured
     * memory. All proxies of a drill have a control address, so two processes may have to share it.
     */
    private static int heapMb(int memoryMb) {
        int share = memoryMb >= MIN_SHARED_MEMORY_MB ? memoryMb / 2 : memoryMb;
        return Math.max(MIN_HEAP_MB, Math.min(MAX_HEAP_MB, share / 3));
    }

    /**
     * Returns a command prefix that limits the number of open files. The prefix lowers the hard
     * limit as well as the soft limit, because the JVM raises its soft limit to the hard limit.
     *
     * @param maxOpenFiles the limit; 0 to keep the machine's limit
     */
    private static List<String> openFilesPrefix(int maxOpenFiles) {
        return maxOpenFiles == 0
                ? List.of()
                : List.of("/bin/sh", "-c", "ulimit -n " + maxOpenFiles + " && exec \"$@\"", "sh");
    }

    private Map<String, Object> buildConfiguration() {
        Scenario scenario = sharedConfig.scenario();
        Map<String, Object> settings = new HashMap<>();
        settings.put(
                "categories",
                scenario.classes().stream().map(ProxyProcess::buildCategory).toList());
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
        config.put("listen", LocalNetwork.format(listenAddress));
        config.put("control", LocalNetwork.format(controlAddress));
        config.put("discovery", LocalNetwork.format(discoveryAddress));
        config.put("peer_listen", LocalNetwork.format(peerListenAddress));
        config.put("peers", peerAddresses.stream().map(LocalNetwork::format).toList());
        config.put("settings", settings);
        if (knownServers != null) {
            config.put("known", knownServers);
        }
        return config;
    }

    private static Map<String, Object> buildCategory(Scenario.RequestClass requestClass) {
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

    /**
     * Starts the proxy for the first time. If another process has taken one of its ports, the start
     * is retried with other ports.
     */
    public void startWithPortRetry() throws IOException, InterruptedException {
        for (int attempt = 1; ; attempt++) {
            process.start();
            // If a port was taken, the process ends during the start. Other failures are not
            // handled here: the proxy does not become ready, and the caller detects that.
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

    /**
     * Waits until the proxy reports that it is ready.
     *
     * @return false if the proxy has ended, or is not ready before the timeout
     */
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

    /**
     * Sends a control call to the proxy and returns the answer; an empty text if there is no
     * answer.
     */
    String ask(String call) {
        return LocalNetwork.ask(controlAddress, call);
    }
}
