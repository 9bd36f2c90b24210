package passhatch.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;
import passhatch.proxy.base.Addresses;
import passhatch.proxy.base.Clock;

/**
 * One message from discovery.
 *
 * @param index the version of the list
 * @param whole whether the message has the whole list; false if it has changes to it
 */
public record EndpointList(long index, boolean whole, List<Endpoint> endpoints) {

    public static final EndpointList EMPTY = new EndpointList(0, true, List.of());

    /** A backend and its address. */
    public record Endpoint(Server server, InetSocketAddress address) {}

    public List<Server> servers() {
        return endpoints.stream().map(Endpoint::server).toList();
    }

    /**
     * Parses a message.
     *
     * @throws IllegalArgumentException if any part of it is malformed: a truncated list would make
     *     the missing backends look removed
     */
    public static EndpointList parse(
            Map<String, Object> json, List<String> zoneNames, List<String> modelNames) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Object item : requireValue(json, "endpoints", List.class)) {
            if (!(item instanceof Map<?, ?> line)) {
                throw new IllegalArgumentException("an endpoint is not a JSON object");
            }
            endpoints.add(parseEndpoint(line, zoneNames, modelNames));
        }
        return new EndpointList(
                requireValue(json, "index", Number.class).longValue(),
                requireValue(json, "snapshot", Boolean.class),
                endpoints);
    }

    private static Endpoint parseEndpoint(
            Map<?, ?> line, List<String> zoneNames, List<String> modelNames) {
        ServerStatus status =
                switch (requireValue(line, "status", String.class)) {
                    case "SERVING" -> ServerStatus.UP;
                    case "DRAINING" -> ServerStatus.DRAINING;
                    case "DELETED" -> ServerStatus.GONE;
                    default ->
                            throw new IllegalArgumentException(
                                    "status '" + line.get("status") + "' is unknown");
                };
        Server server =
                new Server(
                        requireValue(line, "name", String.class),
                        Clock.fromUnixMs(requireValue(line, "since_ms", Number.class).longValue()),
                        zoneNames.indexOf(line.get("zone")),
                        line.get("group") instanceof Number n ? n.intValue() : 0,
                        status,
                        modelNames.indexOf(line.get("type")));
        return new Endpoint(server, Addresses.parse(requireValue(line, "address", String.class)));
    }

    private static <T> T requireValue(Map<?, ?> json, String key, Class<T> type) {
        Object value = json.get(key);
        if (!type.isInstance(value)) {
            throw new IllegalArgumentException(
                    key + " is missing or not a " + type.getSimpleName());
        }
        return type.cast(value);
    }
}
