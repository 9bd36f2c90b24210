package passhatch.lab.drill;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import passhatch.lab.Seeds;
import passhatch.lab.standin.BackendServer;
import passhatch.lab.standin.DiscoveryServer;
import passhatch.lab.standin.RequestLedger;
import passhatch.lab.standin.ServiceTime;
import passhatch.lab.standin.UdpRelay;

/**
 * The proxy processes of a drill, and the stand-ins for backends, discovery and the network between
 * proxies.
 */
final class Testbed implements Closeable {

    /**
     * Time after which a proxy that does not shut down is killed. This is longer than the maximum
     * shutdown time of a proxy: the longest request deadline, of which at most 3 s count, plus 0.7
     * s.
     */
    private static final long SHUTDOWN_TIMEOUT_MS = 5_000;

    private static final int STAND_IN_THREADS = 2;

    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(
                    STAND_IN_THREADS,
                    new DefaultThreadFactory("stand-in", true),
                    NioIoHandler.newFactory());
    final RequestLedger ledger = new RequestLedger();
    final DiscoveryServer discovery = new DiscoveryServer(eventLoops.next());
    final List<BackendServer> backends = new ArrayList<>();
    final List<ProxyProcess> proxies = new ArrayList<>();
    UdpRelay relay;

    /** Kills the proxy processes if this JVM is terminated. */
    private final Thread shutdownHook = new Thread(this::killProcesses, "end-of-drill");

    private boolean closed;

    /** Starts the stand-ins, and creates the proxy processes without starting them. */
    Testbed(Scenario scenario, Seeds seeds, Path jar, Path folder, List<String> jvmOptions)
            throws IOException {
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            discovery.start();
            List<DiscoveryServer.Endpoint> endpoints = new ArrayList<>();
            for (int i = 1; i <= scenario.backends().count(); i++) {
                String name = "backend-" + i;
                BackendServer backend =
                        new BackendServer(
                                name,
                                capacityOf(scenario.backends()),
                                eventLoops.next(),
                                ledger,
                                seeds.stream(name));
                backend.start();
                backends.add(backend);
                endpoints.add(new DiscoveryServer.Endpoint(name, backend.address(), "SERVING", 0));
            }
            discovery.update(endpoints);
            relay = new UdpRelay(scenario.proxies().count(), seeds.stream("relay"));
            var sharedConfig =
                    new ProxyProcess.SharedConfig(
                            jar, folder, scenario, discovery.address(), jvmOptions);
            for (int i = 0; i < scenario.proxies().count(); i++) {
                InetSocketAddress peerListenAddress = LocalNetwork.reserveAddress();
                relay.setListenAddress(i, peerListenAddress);
                proxies.add(
                        new ProxyProcess(
                                i, sharedConfig, relay.relayAddressesOf(i), peerListenAddress));
            }
        } catch (IOException | RuntimeException failed) {
            close();
            throw failed;
        }
    }

    private static BackendServer.Capacity capacityOf(Scenario.Backends backends) {
        return new BackendServer.Capacity(
                backends.cores(),
                backends.slots(),
                backends.queue(),
                backends.connections(),
                new ServiceTime(
                        backends.service().distribution(),
                        TimeUnit.MICROSECONDS.convert(backends.service().mean()),
                        backends.service().sigma()),
                backends.coldShare(),
                TimeUnit.MICROSECONDS.convert(backends.coldDuration()));
    }

    /** Starts all proxy processes concurrently and waits until each is ready. */
    void startProxies(long readyTimeoutMs) throws IOException, InterruptedException {
        for (ProxyProcess proxy : proxies) {
            proxy.startWithPortRetry();
        }
        for (ProxyProcess proxy : proxies) {
            if (!proxy.awaitReady(readyTimeoutMs)) {
                throw new IOException(
                        proxy.name()
                                + (proxy.process().isAlive() ? " did not get ready" : " ended")
                                + " within "
                                + readyTimeoutMs
                                + " ms of its start; the end of its log:\n"
                                + proxy.process().logTail());
            }
        }
    }

    /**
     * Terminates all proxy processes and closes the stand-ins. Each process gets SIGTERM, and
     * SIGKILL only if it does not end in time.
     */
    @Override
    public synchronized void close() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        List<Thread> terminations =
                proxies.stream()
                        .map(p -> new Thread(() -> p.process().terminate(SHUTDOWN_TIMEOUT_MS)))
                        .toList();
        terminations.forEach(Thread::start);
        for (Thread termination : terminations) {
            try {
                termination.join();
            } catch (InterruptedException interrupted) {
                killProcesses();
                Thread.currentThread().interrupt();
            }
        }
        if (relay != null) {
            relay.close();
        }
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException shuttingDown) {
            // The JVM is shutting down, so the hook runs, but no process is left to kill.
        }
    }

    private void killProcesses() {
        proxies.forEach(p -> p.process().kill());
    }
}
