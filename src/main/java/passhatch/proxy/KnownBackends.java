package passhatch.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import passhatch.Balancer.ServerStatus;
import passhatch.proxy.discovery.EndpointList;

/**
 * The backends' addresses and what the list says of them. An address stays known also when its
 * backend has left the list: the module may still name it.
 */
final class KnownBackends {

    /** One backend. */
    private record Backend(InetSocketAddress address, ServerStatus status) {}

    private final Map<String, Backend> byName = new HashMap<>();

    /**
     * Takes a list, or changes to it.
     *
     * @return addresses at which a backend of that name is no longer found
     */
    List<InetSocketAddress> learn(EndpointList list) {
        if (list.whole()) {
            Set<String> gone = new HashSet<>(byName.keySet());
            list.endpoints().forEach(e -> gone.remove(e.server().id()));
            gone.forEach(
                    name ->
                            byName.computeIfPresent(
                                    name, (n, b) -> new Backend(b.address(), ServerStatus.GONE)));
        }
        List<InetSocketAddress> left = new ArrayList<>();
        for (EndpointList.Endpoint e : list.endpoints()) {
            Backend before =
                    byName.put(e.server().id(), new Backend(e.address(), e.server().status()));
            if (before != null && !before.address().equals(e.address())) {
                left.add(before.address());
            }
        }
        return left;
    }

    /** Null where no list has named it. */
    InetSocketAddress address(String name) {
        Backend backend = byName.get(name);
        return backend == null ? null : backend.address();
    }

    /** Whether it may be sent something new there; false where it drains, has gone or moved. */
    boolean isUpAt(InetSocketAddress address, String name) {
        Backend backend = byName.get(name);
        return backend.status() == ServerStatus.UP && backend.address().equals(address);
    }

    /** How many are in the list, those that drain too. */
    int listed() {
        return (int) byName.values().stream().filter(b -> b.status() != ServerStatus.GONE).count();
    }
}
