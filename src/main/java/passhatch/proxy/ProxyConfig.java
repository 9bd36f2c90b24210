package passhatch.proxy;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import passhatch.Balancer.Settings;
import passhatch.InvalidSettingsException;
import passhatch.SettingsReader;
import passhatch.proxy.base.Addresses;
import passhatch.proxy.discovery.EndpointList;

/**
 * What this proxy is told at its start, checked.
 *
 * @param classNames names of the request classes, by position
 * @param tenantNames names of the tenants, by position; empty where there are none
 * @param zoneNames names of the zones, by position
 * @param modelNames names of the machine kinds, by position
 * @param connectTimeoutUs a connection that takes longer counts as not to be had
 * @param maxDescriptors file descriptors that this proxy's processes may hold together
 * @param memoryBytes that this proxy's processes may take together
 * @param initialList the list as this proxy last had it
 * @param controlAddress where operators ask, or null
 * @param folder of this proxy's processes, or null
 */
record ProxyConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        Settings settings,
        List<String> classNames,
        List<String> tenantNames,
        List<String> zoneNames,
        List<String> modelNames,
        long connectTimeoutUs,
        int maxDescriptors,
        long memoryBytes,
        EndpointList initialList,
        InetSocketAddress controlAddress,
        Path folder) {

    private static final long DEFAULT_CONNECT_TIMEOUT_US = 250_000;
    private static final int DEFAULT_MAX_DESCRIPTORS = 1024;
    private static final long DEFAULT_MEMORY_MB = 144;

    /** The configuration cannot be used; the message is one plain line. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String message) {
            super(message.lines().findFirst().orElse(""));
        }
    }

    /** Reads the environment and the file it names. */
    static ProxyConfig read(Map<String, String> env) throws InvalidConfigException {
        String name = requireVariable(env, "PROXY_NAME");
        InetSocketAddress listenAddress =
                parseAddress("PROXY_LISTEN", requireVariable(env, "PROXY_LISTEN"));
        InetSocketAddress discoveryAddress =
                parseAddress("PROXY_DISCOVERY", requireVariable(env, "PROXY_DISCOVERY"));
        Map<String, Object> file = readFile(requireVariable(env, "PROXY_CONFIG"));
        Map<String, Object> params = requireObject(file, "settings");
        Map<String, Object> limits =
                file.containsKey("limits") ? requireObject(file, "limits") : Map.of();
        Settings settings;
        try {
            settings = SettingsReader.read(params);
        } catch (InvalidSettingsException | IllegalArgumentException invalid) {
            throw new InvalidConfigException("config: settings: " + invalid.getMessage());
        }
        List<String> zoneNames = strings(params, "dcs");
        List<String> modelNames = strings(params, "machineTypes");
        EndpointList initialList = EndpointList.EMPTY;
        if (file.get("known") != null) {
            try {
                initialList =
                        EndpointList.parse(requireObject(file, "known"), zoneNames, modelNames);
            } catch (IllegalArgumentException invalid) {
                throw new InvalidConfigException("config: known: " + invalid.getMessage());
            }
        }
        Object connectTimeoutUs =
                params.get("limits") instanceof Map<?, ?> m ? m.get("connectTimeoutUs") : null;
        return new ProxyConfig(
                name,
                listenAddress,
                discoveryAddress,
                seed(file.get("seed")),
                settings,
                names(params, "categories"),
                names(params, "tenants"),
                zoneNames,
                modelNames,
                connectTimeoutUs instanceof Number n ? n.longValue() : DEFAULT_CONNECT_TIMEOUT_US,
                limits.get("sockets") instanceof Number n ? n.intValue() : DEFAULT_MAX_DESCRIPTORS,
                (limits.get("memory_mb") instanceof Number n ? n.longValue() : DEFAULT_MEMORY_MB)
                        << 20,
                initialList,
                controlAddress(env.get("PROXY_CONTROL"), file.get("control")),
                folder(env.get("TMPDIR")));
    }

    /** Without an address nothing listens for operators. */
    private static InetSocketAddress controlAddress(String variable, Object configured)
            throws InvalidConfigException {
        if (variable != null && !variable.isBlank()) {
            return parseAddress("PROXY_CONTROL", variable);
        }
        return configured == null
                ? null
                : parseAddress("config: control", String.valueOf(configured));
    }

    private static Path folder(String name) {
        return name == null || name.isBlank() ? null : Path.of(name);
    }

    /** The address of discovery that the configuration file names now. */
    static InetSocketAddress readDiscoveryAddress(Map<String, String> env)
            throws InvalidConfigException {
        if (readFile(requireVariable(env, "PROXY_CONFIG")).get("discovery")
                instanceof String text) {
            return parseAddress("config: discovery", text);
        }
        throw new InvalidConfigException("config: discovery is missing or not an address");
    }

    private static InetSocketAddress parseAddress(String setting, String text)
            throws InvalidConfigException {
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException invalid) {
            throw new InvalidConfigException(setting + ": " + invalid.getMessage());
        }
    }

    private static String requireVariable(Map<String, String> env, String key)
            throws InvalidConfigException {
        String value = env.get(key);
        if (value == null || value.isBlank()) {
            throw new InvalidConfigException(key + " is not set");
        }
        return value;
    }

    private static Map<String, Object> readFile(String path) throws InvalidConfigException {
        try {
            Map<String, Object> file = JSON.std.mapFrom(Files.readString(Path.of(path)));
            if (file == null) {
                throw new InvalidConfigException("PROXY_CONFIG: " + path + " holds no object");
            }
            return file;
        } catch (IOException | IllegalArgumentException invalid) {
            throw new InvalidConfigException(
                    "PROXY_CONFIG: " + path + " cannot be read: " + invalid.getMessage());
        }
    }

    /** The seed is sixteen hex digits, or a number. */
    private static long seed(Object seed) throws InvalidConfigException {
        try {
            return seed instanceof Number n
                    ? n.longValue()
                    : new BigInteger((String) seed, 16).longValue();
        } catch (ClassCastException | NumberFormatException | NullPointerException invalid) {
            throw new InvalidConfigException("config: seed is missing or not hexadecimal");
        }
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> requireObject(Map<String, Object> in, String key)
            throws InvalidConfigException {
        if (in.get(key) instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new InvalidConfigException("config: " + key + " is missing or not an object");
    }

    private static List<String> strings(Map<String, Object> in, String key) {
        return in.get(key) instanceof List<?> list
                ? list.stream().map(String::valueOf).toList()
                : List.of();
    }

    private static List<String> names(Map<String, Object> in, String key) {
        return in.get(key) instanceof List<?> list
                ? list.stream().map(item -> String.valueOf(((Map<?, ?>) item).get("name"))).toList()
                : List.of();
    }
}
