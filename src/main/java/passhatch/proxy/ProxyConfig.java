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
 * The validated configuration of this proxy.
 *
 * @param classNames names of the request classes, by index
 * @param tenantNames names of the tenants, by index; empty if there are none
 * @param zoneNames names of the zones, by index
 * @param modelNames names of the machine types, by index
 * @param connectTimeoutUs maximum time to connect to a backend, in microseconds
 * @param maxDescriptors maximum number of file descriptors of all processes of this proxy together
 * @param memoryBytes maximum memory of all processes of this proxy together, in bytes
 * @param initialList the list of servers that this proxy last received; empty if none is configured
 * @param controlAddress the address for operators' commands, or null if there is none
 * @param folder the folder that the processes of this proxy share, or null
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

    /** Thrown if the configuration is invalid; its message is a single line. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String message) {
            super(message.lines().findFirst().orElse(""));
        }
    }

    /**
     * Reads the configuration from the environment variables and the file that PROXY_CONFIG names.
     */
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
        List<String> zoneNames = readStrings(params, "dcs");
        List<String> modelNames = readStrings(params, "machineTypes");
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
                readNames(params, "categories"),
                readNames(params, "tenants"),
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

    /**
     * Returns the address for operators' commands. If none is set, returns null, and the control
     * server does not listen.
     */
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

    /** Reads the current address of discovery from the configuration file. */
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
                throw new InvalidConfigException("PROXY_CONFIG: " + path + " is not a JSON object");
            }
            return file;
        } catch (IOException | IllegalArgumentException invalid) {
            throw new InvalidConfigException(
                    "PROXY_CONFIG: " + path + " cannot be read: " + invalid.getMessage());
        }
    }

    /** Parses the seed, which is a number or a text of sixteen hexadecimal digits. */
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

    private static List<String> readStrings(Map<String, Object> in, String key) {
        return in.get(key) instanceof List<?> list
                ? list.stream().map(String::valueOf).toList()
                : List.of();
    }

    private static List<String> readNames(Map<String, Object> in, String key) {
        return in.get(key) instanceof List<?> list
                ? list.stream().map(item -> String.valueOf(((Map<?, ?>) item).get("name"))).toList()
                : List.of();
    }
}
