package passhatch.lab.soak;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import passhatch.lab.drill.ChildProcess;
import passhatch.lab.drill.LocalNetwork;
import passhatch.lab.drill.ProxyProcess;
import passhatch.lab.standin.DiscoveryServer;

/** One proxy process before twelve planned backends. */
final class ProxyTestbed implements Closeable {

    private static final int BACKENDS = 12;
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long SHUTDOWN_TIMEOUT_MS = 5_000;
    private static final String KIB_UNIT = "kB";

    /** The limits that the proxy is configured with. */
    record Limits(int memoryMb, int descriptors) {}

    final Records records = new Records();
    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("stand-in", true), NioIoHandler.newFactory());
    private final DiscoveryServer discovery = new DiscoveryServer(eventLoops.next());
    private final List<PlannedBackend> backends = new ArrayList<>();
    private final ProxyProcess proxy;
    private ChildProcess newerProcess;

    /** Starts the stand-ins and the proxy, and returns when the proxy is ready. */
    ProxyTestbed(Path jar, Path folder, Limits limits, long seed)
            throws IOException, InterruptedException {
        this(jar, folder, limits, seed, process -> {});
    }

    /**
     * Starts the stand-ins and the proxy, and returns when the proxy is ready.
     *
     * @param preparation what is done with the proxy's process before its start
     */
    ProxyTestbed(
            Path jar, Path folder, Limits limits, long seed, Consumer<ChildProcess> preparation)
            throws IOException, InterruptedException {
        discovery.start();
        List<DiscoveryServer.Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            PlannedBackend backend = new PlannedBackend(records);
            backends.add(backend);
            endpoints.add(
                    new DiscoveryServer.Endpoint("backend-" + i, backend.address(), "SERVING", 0));
        }
        discovery.update(endpoints);
        ProxyProcess.SharedConfig config =
                ProxyProcess.SharedConfig.of(
                        jar, folder, scenario(limits, seed), discovery.address());
        proxy = new ProxyProcess(0, config, List.of(), LocalNetwork.reserveAddress());
        preparation.accept(proxy.process());
        proxy.startWithPortRetry();
        if (!proxy.awaitReady(READY_TIMEOUT_MS)) {
            String log = proxy.process().logTail();
            close();
            throw new IOException("the proxy did not get ready; the end of its log:\n" + log);
        }
    }

    private static String scenario(Limits limits, long seed) {
        StringBuilder classes = new StringBuilder();
        for (RequestKind kind : RequestKind.values()) {
            String effect =
                    switch (kind) {
                        case LOOKUP -> "safe";
                        case NOTICE -> "unsafe";
                        case SETTLE -> "keyed";
                    };
            classes.append(
                    "{name = \"%s\", effect = \"%s\", share = 1.0, aim = \"500ms\", deadline = \"%dms\"}, "
                            .formatted(kind.className, effect, kind.deadlineMs));
        }
        return """
        name = "soak"
        seed = %d
        proxies = {count = 1, memory_mb = %d, sockets = %d, retries = true}
        classes = [%s]
        expect = {lost = 0}
        """
                .formatted(seed, limits.memoryMb(), limits.descriptors(), classes);
    }

    InetSocketAddress address() {
        return proxy.listenAddress();
    }

    ChildProcess process() {
        return proxy.process();
    }

    /** Starts a second process of the same proxy beside the first, as an upgrade does. */
    ChildProcess startNewerProcess() throws IOException {
        newerProcess = proxy.newProcessBeside();
        newerProcess.start();
        return newerProcess;
    }

    /** Returns the most memory that the process has held so far, in MB. */
    long peakMemoryMb() throws IOException {
        String status = Files.readString(Path.of("/proc/" + proxy.process().pid() + "/status"));
        String line =
                status.lines().filter(text -> text.startsWith("VmHWM:")).findFirst().orElseThrow();
        String kib = line.substring("VmHWM:".length()).replace(KIB_UNIT, "").strip();
        return Long.parseLong(kib) / 1024;
    }

    /** Sends SIGTERM and kills the process after the given time. */
    void shutDown(long killAfterMs) throws IOException, InterruptedException {
        proxy.process().signal("TERM");
        if (!proxy.process().awaitExit(killAfterMs)) {
            proxy.process().kill();
        }
    }

    @Override
    public void close() throws IOException {
        if (newerProcess != null) {
            newerProcess.terminate(SHUTDOWN_TIMEOUT_MS);
        }
        if (proxy != null) {
            proxy.process().terminate(SHUTDOWN_TIMEOUT_MS);
        }
        for (PlannedBackend backend : backends) {
            backend.close();
        }
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
