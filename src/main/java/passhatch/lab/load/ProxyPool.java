package passhatch.lab.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The proxies to which clients send: spreads requests over the admitted ones, as a load balancer in
 * front of them does. A failed proxy is removed only after a detection delay. The drill updates the
 * pool, and the load generator's threads read it.
 */
public final class ProxyPool {

    /** One proxy and its state in the pool. */
    static final class ProxyEndpoint {
        private final InetSocketAddress address;
        private volatile boolean admitted;
        private volatile boolean faulty;
        private volatile long lastFaultChangeNs = Long.MIN_VALUE;

        ProxyEndpoint(InetSocketAddress address) {
            this.address = address;
        }

        InetSocketAddress address() {
            return address;
        }

        /** Returns whether a fault has stopped or killed its process at any time since then. */
        boolean faultySince(long ns) {
            return faulty || lastFaultChangeNs - ns >= 0 && lastFaultChangeNs != Long.MIN_VALUE;
        }
    }

    private final List<ProxyEndpoint> endpoints;

    /** Creates a pool of these proxies, none of which is admitted yet. */
    public ProxyPool(List<InetSocketAddress> proxies) {
        this.endpoints = proxies.stream().map(ProxyEndpoint::new).toList();
    }

    /** Sets whether requests are sent to a proxy. */
    public void setAdmitted(int proxy, boolean admitted) {
        endpoints.get(proxy).admitted = admitted;
    }

    /** Marks a proxy as stopped or killed by a fault or, if false, as serving again. */
    public void setFaulty(int proxy, boolean faulty) {
        ProxyEndpoint endpoint = endpoints.get(proxy);
        endpoint.lastFaultChangeNs = System.nanoTime();
        endpoint.faulty = faulty;
    }

    /**
     * Returns the next admitted proxy from an index on other than {@code except}; if there is no
     * other, {@code except} if it is admitted, or else null.
     */
    ProxyEndpoint nextAdmitted(int startIndex, ProxyEndpoint except) {
        for (int i = 0; i < endpoints.size(); i++) {
            ProxyEndpoint endpoint = endpoints.get(Math.floorMod(startIndex + i, endpoints.size()));
            if (endpoint.admitted && endpoint != except) {
                return endpoint;
            }
        }
        return except != null && except.admitted ? except : null;
    }
}
