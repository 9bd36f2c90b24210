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
final class BackendTable {

    /** One backend. */
    private record Entry(InetSocketAddress address, ServerStatus status) {}

    private final Map<String, Entry> byName = new HashMap<>();

    /**
     * Takes a list, or changes to it.
     *
     * @return addresses at which a backend of that name is no longer found
     */
    List<InetSocketAddress> update(EndpointList list) {
        if (list.whole()) {
            Set<String> removed = new HashSet<>(byName.keySet());
            list.endpoints().forEach(endpoint -> removed.remove(endpoint.server().id()));
            removed.forEach(
                    name ->
                            byName.computeIfPresent(
                                    name,
                                    (key, backend) ->
                                            new Entry(backend.address(), ServerStatus.GONE)));
        }
        List<InetSocketAddress> formerAddresses = new ArrayList<>();
        for (EndpointList.Endpoint endpoint : list.endpoints()) {
            Entry before =
                    byName.put(
                            endpoint.server().id(),
                            new Entry(endpoint.address(), endpoint.server().status()));
            if (before != null && !before.address().equals(endpoint.address())) {
                formerAddresses.add(before.address());
            }
        }
        return formerAddresses;
    }

    /** Null where no list has named it. */
    InetSocketAddress address(String name) {
        Entry backend = byName.get(name);
        return backend == null ? null : backend.address();
    }

    /** Whether it may be sent something new there; false where it drains, has gone or moved. */
    boolean isUpAt(InetSocketAddress address, String name) {
        Entry backend = byName.get(name);
        return backend.status() == ServerStatus.UP && backend.address().equals(address);
    }

    /** How many are in the list, those that drain too. */
    int listedCount() {
        return (int)
                byName.values().stream()
                        .filter(backend -> backend.status() != ServerStatus.GONE)
                        .count();
    }
}
