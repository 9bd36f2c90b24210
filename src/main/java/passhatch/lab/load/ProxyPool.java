package passhatch.lab.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The proxies to which clients send requests. Requests are spread over the admitted proxies, as by
 * a load balancer in front of the proxies, which stops sending to a failed proxy only after a
 * detection delay. The drill updates the pool, and the load generator's threads read it.
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

        /**
         * Returns whether this proxy's process was stopped or killed by a fault at any time since
         * the given time.
         */
        boolean faultySince(long sinceNs) {
            return faulty
                    || lastFaultChangeNs - sinceNs >= 0 && lastFaultChangeNs != Long.MIN_VALUE;
        }
    }

    private final List<ProxyEndpoint> endpoints;

    /** Creates a pool of the given proxies, none of which is admitted yet. */
    public ProxyPool(List<InetSocketAddress> proxies) {
        this.endpoints = proxies.stream().map(ProxyEndpoint::new).toList();
    }

    /** Sets whether requests are sent to a proxy. */
    public void setAdmitted(int proxy, boolean admitted) {
        endpoints.get(proxy).admitted = admitted;
    }

    /**
     * Sets whether a fault has stopped or killed a proxy; false means that the proxy serves again.
     */
    public void setFaulty(int proxy, boolean faulty) {
        ProxyEndpoint endpoint = endpoints.get(proxy);
        endpoint.lastFaultChangeNs = System.nanoTime();
        endpoint.faulty = faulty;
    }

    /**
     * Returns the first admitted proxy other than {@code except}, searching from {@code startIndex}
     * on. If there is no such proxy, returns {@code except} if that proxy is admitted, or else
     * null.
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
