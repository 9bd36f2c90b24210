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
 * The addresses of the backends and their status in the list of servers. The address of a backend
 * that has left the list is kept, as the decision module may still name this backend in an action.
 */
final class BackendTable {

    /** The address and the status of one backend. */
    private record Entry(InetSocketAddress address, ServerStatus status) {}

    private final Map<String, Entry> byName = new HashMap<>();

    /**
     * Applies a message from discovery: the whole list, or changes to it.
     *
     * @return former addresses of the backends whose address has changed
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
            Entry previous =
                    byName.put(
                            endpoint.server().id(),
                            new Entry(endpoint.address(), endpoint.server().status()));
            if (previous != null && !previous.address().equals(endpoint.address())) {
                formerAddresses.add(previous.address());
            }
        }
        return formerAddresses;
    }

    /** Returns the address of a backend, or null if no list has contained it. */
    InetSocketAddress address(String name) {
        Entry backend = byName.get(name);
        return backend == null ? null : backend.address();
    }

    /**
     * Returns whether a new request may be sent to this backend at this address; false if the
     * backend drains, was removed or has another address now.
     */
    boolean isUpAt(InetSocketAddress address, String name) {
        Entry backend = byName.get(name);
        return backend.status() == ServerStatus.UP && backend.address().equals(address);
    }

    /** Returns the number of backends in the list, draining ones included. */
    int listedCount() {
        return (int)
                byName.values().stream()
                        .filter(backend -> backend.status() != ServerStatus.GONE)
                        .count();
    }
}
