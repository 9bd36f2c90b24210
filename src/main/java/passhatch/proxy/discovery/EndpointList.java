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
 * One message from discovery: the whole list of backends, or changes to it.
 *
 * @param index the version of the list
 * @param whole whether the message has the whole list; false if it has only changes
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
     * @throws IllegalArgumentException if any part of the message is malformed: in a list without
     *     its malformed parts, some backends would look removed
     */
    public static EndpointList parse(
            Map<String, Object> json, List<String> zoneNames, List<String> modelNames) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Object item : requireValue(json, "endpoints", List.class)) {
            if (!(item instanceof Map<?, ?> entry)) {
                throw new IllegalArgumentException("an endpoint is not a JSON object");
            }
            endpoints.add(parseEndpoint(entry, zoneNames, modelNames));
        }
        return new EndpointList(
                requireValue(json, "index", Number.class).longValue(),
                requireValue(json, "snapshot", Boolean.class),
                endpoints);
    }

    private static Endpoint parseEndpoint(
            Map<?, ?> entry, List<String> zoneNames, List<String> modelNames) {
        ServerStatus status =
                switch (requireValue(entry, "status", String.class)) {
                    case "SERVING" -> ServerStatus.UP;
                    case "DRAINING" -> ServerStatus.DRAINING;
                    case "DELETED" -> ServerStatus.GONE;
                    default ->
                            throw new IllegalArgumentException(
                                    "status '" + entry.get("status") + "' is unknown");
                };
        Server server =
                new Server(
                        requireValue(entry, "name", String.class),
                        Clock.fromUnixMs(requireValue(entry, "since_ms", Number.class).longValue()),
                        zoneNames.indexOf(entry.get("zone")),
                        entry.get("group") instanceof Number n ? n.intValue() : 0,
                        status,
                        modelNames.indexOf(entry.get("type")));
        return new Endpoint(server, Addresses.parse(requireValue(entry, "address", String.class)));
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
