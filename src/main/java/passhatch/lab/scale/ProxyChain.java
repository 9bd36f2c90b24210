package passhatch.lab.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import passhatch.lab.Seeds;
import passhatch.lab.drill.ProxyProcess;
import passhatch.lab.standin.BackendServer;
import passhatch.lab.standin.DiscoveryServer;
import passhatch.lab.standin.RequestLedger;
import passhatch.lab.standin.ServiceTime;

/**
 * A chain of proxies in front of stand-in backends. Each proxy's list of servers has one entry, the
 * next proxy; the last proxy's list has the backends. A request may enter the chain at any proxy.
 *
 * <p>There are no services between the proxies. The latency that a path adds is its latency minus
 * the latency of a direct request, and services would only add the same time to both.
 */
final class ProxyChain implements Closeable {

    private static final int STAND_IN_THREADS = 2;

    /** Lets the backends respond immediately, because only the path to them is measured. */
    private static final BackendServer.Capacity BACKEND_CAPACITY =
            new BackendServer.Capacity(
                    1 << 16,
                    1 << 16,
                    1 << 16,
                    1 << 12,
                    new ServiceTime(ServiceTime.Distribution.CONSTANT, 0, 0),
                    1,
                    0);

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    STAND_IN_THREADS,
                    new DefaultThreadFactory("stand-in", true),
                    NioIoHandler.newFactory());
    private final EventLoop backendLoop = group.next();
    private final EventLoop discoveryLoop = group.next();
    private final List<BackendServer> backends = new ArrayList<>();

    /**
     * The proxies in the order in which they are started, from the last proxy of the chain to the
     * first.
     */
    private final List<ProxyProcess> proxies = new ArrayList<>();

    private final DiscoveryServer lastProxyDiscovery = new DiscoveryServer(discoveryLoop);
    private final ProxyTestbed testbed;
    private int listedBackendCount;

    /** Starts the proxies and backends. At first, the list of the last proxy has all backends. */
    ProxyChain(ProxyTestbed testbed, int depth, int backendCount, long seed)
            throws IOException, InterruptedException {
        this.testbed = testbed;
        try {
            startBackends(backendCount, new Seeds(seed));
            lastProxyDiscovery.start();
            setListedBackendCount(backendCount);
            startProxies(depth);
        } catch (IOException | InterruptedException | RuntimeException failed) {
            close();
            throw failed;
        }
    }

    private void startBackends(int count, Seeds seeds) throws IOException {
        RequestLedger ledger = new RequestLedger();
        for (int i = 0; i < count; i++) {
            String name = "backend-" + i;
            BackendServer backend =
                    new BackendServer(
                            name, BACKEND_CAPACITY, backendLoop, ledger, seeds.stream(name));
            backend.start();
            backends.add(backend);
        }
    }

    private void startProxies(int depth) throws IOException, InterruptedException {
        DiscoveryServer discovery = lastProxyDiscovery;
        for (int i = 1; i <= depth; i++) {
            ProxyProcess proxy = testbed.start("before-end-" + i, discovery.address());
            proxies.add(proxy);
            discovery = new DiscoveryServer(discoveryLoop);
            discovery.start();
            discovery.update(
                    List.of(
                            new DiscoveryServer.Endpoint(
                                    "next-of-" + i, proxy.listenAddress(), "SERVING", 0)));
        }
    }

    /** Sets how many of the backends are in the list of the last proxy. */
    void setListedBackendCount(int count) {
        List<DiscoveryServer.Endpoint> changed = new ArrayList<>();
        for (int i = Math.min(count, listedBackendCount);
                i < Math.max(count, listedBackendCount);
                i++) {
            BackendServer backend = backends.get(i);
            changed.add(
                    new DiscoveryServer.Endpoint(
                            backend.name(),
                            backend.address(),
                            i < count ? "SERVING" : "DELETED",
                            0));
        }
        listedBackendCount = count;
        if (!changed.isEmpty()) {
            lastProxyDiscovery.update(changed);
        }
    }

    /**
     * Returns the address to which a request must be sent so that it passes through the given
     * number of proxies. For 0 proxies, this is the address of a backend.
     */
    InetSocketAddress entryAddress(int proxyCount) {
        return proxyCount == 0
                ? backends.get(0).address()
                : proxies.get(proxyCount - 1).listenAddress();
    }

    /**
     * Returns the proxies through which a request passes if it is sent to the {@link #entryAddress}
     * for the given number of proxies.
     */
    List<ProxyProcess> proxiesOnPath(int proxyCount) {
        return proxies.subList(0, proxyCount);
    }

    @Override
    public void close() {
        testbed.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
