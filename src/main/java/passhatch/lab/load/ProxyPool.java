package passhatch.lab.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What clients come through: it spreads them over the proxies that it takes for alive, and hears of
 * a dead one late. Told by the drill, read by the load's threads.
 */
public final class ProxyPool {

    /** One proxy as the front knows it. */
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

        /** Whether a fault held or ended its process at any time since then. */
        boolean faultySince(long ns) {
            return faulty || lastFaultChangeNs - ns >= 0 && lastFaultChangeNs != Long.MIN_VALUE;
        }
    }

    private final List<ProxyEndpoint> endpoints;

    /** A front before these proxies, none of which is admitted yet. */
    public ProxyPool(List<InetSocketAddress> proxies) {
        this.endpoints = proxies.stream().map(ProxyEndpoint::new).toList();
    }

    /** Whether clients are sent to a proxy from now on. */
    public void setAdmitted(int proxy, boolean admitted) {
        endpoints.get(proxy).admitted = admitted;
    }

    /** A fault holds or has ended the process; or, with false, it serves again. */
    public void setFaulty(int proxy, boolean faulty) {
        ProxyEndpoint endpoint = endpoints.get(proxy);
        endpoint.lastFaultChangeNs = System.nanoTime();
        endpoint.faulty = faulty;
    }

    /** The next admitted proxy from a number on, other than one; null where there is none. */
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
