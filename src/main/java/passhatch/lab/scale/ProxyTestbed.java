package passhatch.lab.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import passhatch.lab.drill.ProxyProcess;

/**
 * Starts proxies for a measurement, each as a process of its own, and ends all of them when the
 * testbed is closed.
 */
final class ProxyTestbed implements Closeable {

    private static final long READY_TIMEOUT_MS = 20_000;
    private static final long SHUTDOWN_TIMEOUT_MS = 5_000;

    private final Path jar;
    private final Path folder;
    private final long seed;
    private final int memoryMb;
    private final List<String> jvmOptions;
    private final List<ProxyProcess> proxies = new ArrayList<>();

    /** Ends the processes if this JVM shuts down during the measurement. */
    private final Thread shutdownHook = new Thread(this::killAll, "end-of-measurement");

    ProxyTestbed(Path jar, Path folder, long seed, int memoryMb, List<String> jvmOptions) {
        this.jar = jar;
        this.folder = folder;
        this.seed = seed;
        this.memoryMb = memoryMb;
        this.jvmOptions = jvmOptions;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Starts a proxy without peers and waits until it is ready.
     *
     * @throws IOException if the proxy does not become ready within 20 s; the message has the end
     *     of the proxy's log
     */
    ProxyProcess start(String name, InetSocketAddress discovery)
            throws IOException, InterruptedException {
        InetSocketAddress peerListen = unusedUdpAddress();
        var shared =
                ProxyProcess.SharedConfig.standalone(
                        jar, folder.resolve(name), seed, memoryMb, discovery, jvmOptions);
        ProxyProcess proxy = new ProxyProcess(0, shared, List.of(peerListen), peerListen);
        proxies.add(proxy);
        proxy.startWithPortRetry();
        if (!proxy.awaitReady(READY_TIMEOUT_MS)) {
            throw new IOException(
                    name
                            + (proxy.process().isAlive() ? " did not get ready" : " ended")
                            + " within "
                            + READY_TIMEOUT_MS
                            + " ms of its start; the end of its log:\n"
                            + proxy.process().logTail());
        }
        return proxy;
    }

    private static InetSocketAddress unusedUdpAddress() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    @Override
    public void close() {
        proxies.parallelStream().forEach(p -> p.process().terminate(SHUTDOWN_TIMEOUT_MS));
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException jvmShutsDown) {
            // The JVM is shutting down, so the hook can no longer be removed. The processes have
            // ended already.
        }
    }

    private void killAll() {
        proxies.forEach(p -> p.process().kill());
    }
}
