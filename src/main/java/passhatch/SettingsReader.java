package passhatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import passhatch.Balancer.DedupGroup;
import passhatch.Balancer.Effect;
import passhatch.Balancer.Limits;
import passhatch.Balancer.Prices;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Rules;
import passhatch.Balancer.Settings;
import passhatch.Balancer.Tenant;

/**
 * Converts settings from a map, as read from JSON, into {@link Settings}. Unknown keys are ignored.
 */
public final class SettingsReader {

    private final Map<String, Object> values;
    private final String path;

    private SettingsReader(Map<String, Object> values, String path) {
        this.values = values;
        this.path = path;
    }

    /**
     * Converts the values of a map into settings.
     *
     * @throws InvalidSettingsException if a value is missing or invalid; the message names the key
     */
    public static Settings read(Map<String, Object> params) throws InvalidSettingsException {
        SettingsReader top = new SettingsReader(params, "");
        List<RequestClass> classes = new ArrayList<>();
        for (SettingsReader category : top.readObjects("categories")) {
            classes.add(
                    new RequestClass(
                            category.readText("name", ""),
                            category.readWholeNumber("goalTimeUs"),
                            category.readWholeNumber("deadlineUs"),
                            category.readNumber("worth"),
                            category.readNumber("lateWorth", 0),
                            category.readEffect(),
                            category.readGroup(),
                            (long) category.readNumber("dedupWindowUs", 0),
                            category.readIndices("runsIn"),
                            category.readIndices("machineTypesOnly")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (SettingsReader tenant : top.readObjects("tenants")) {
            tenants.add(new Tenant(tenant.readText("name", ""), tenant.readNumber("quotaPerS", 0)));
        }
        SettingsReader limits = top.readObject("limits");
        SettingsReader rules = top.readObject("rules");
        SettingsReader prices = top.readObject("fees");
        boolean watch = top.readText("discovery", "pushed").equals("on_request");
        int tiers =
                top.values.get("layers") instanceof List<?> names ? Math.max(1, names.size()) : 1;
        SettingsBuilder builder = new SettingsBuilder();
        classes.forEach(builder::requestClass);
        tenants.forEach(builder::tenant);
        return builder.limits(
                        new Limits(
                                (int) limits.readWholeNumber("maxAttempts"),
                                limits.readFlag("cancel"),
                                limits.readFlag("probes"),
                                limits.readFlag("retryAfter")
                                        ? (long) limits.readNumber("maxRetryAfterUs", 0)
                                        : 0,
                                (int) limits.readNumber("maxStreams", 1),
                                (long) limits.readNumber("keepaliveUs", 0)))
                .rules(
                        new Rules(
                                rules.readWholeNumber("drainGraceUs"),
                                watch ? rules.readWholeNumber("askEveryUs") : 0,
                                rules.readNumber("coldFrom"),
                                rules.readWholeNumber("coldUs"),
                                rules.readNumber("tipMultiple"),
                                rules.readWholeNumber("overloadForUs"),
                                (long) rules.readNumber("letGoInUs", 0)))
                .prices(
                        new Prices(
                                prices.readNumber("probe", 0), prices.readNumber("crossZone", 0)))
                .copies((int) top.readWholeNumber("balancers"), (int) top.readNumber("me", 0))
                .tier((int) top.readNumber("layer", 0), tiers)
                .zone((int) top.readNumber("locality", 0))
                .watch(watch)
                .overQuotaWorth(top.readNumber("overShareWorth", 1))
                .tickUs((long) top.readNumber("resolutionUs", 1))
                .build();
    }

    private Effect readEffect() throws InvalidSettingsException {
        String text = readText("effect", null);
        if (text == null) {
            throw invalid("effect", "is missing");
        }
        return switch (text) {
            case "pure" -> Effect.SAFE;
            case "token" -> Effect.KEYED;
            case "side_effect" -> Effect.UNSAFE;
            default -> throw invalid("effect", "'" + text + "' is not known");
        };
    }

    private DedupGroup readGroup() throws InvalidSettingsException {
        String text = readText("group", "all");
        return switch (text) {
            case "all" -> DedupGroup.ALL;
            case "zone" -> DedupGroup.ZONE;
            case "cell" -> DedupGroup.CELL;
            default -> throw invalid("group", "'" + text + "' is not known");
        };
    }

    private double readNumber(String key) throws InvalidSettingsException {
        if (values.get(key) == null) {
            throw invalid(key, "is missing");
        }
        return readNumber(key, 0);
    }

    private double readNumber(String key, double defaultValue) throws InvalidSettingsException {
        Object value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number n) {
            return n.doubleValue();
        }
        throw invalid(key, "must be a number");
    }

    /** Reads a list of indices as a set; returns null if the key is absent. */
    private Set<Integer> readIndices(String key) throws InvalidSettingsException {
        Object value = values.get(key);
        if (value == null) {
            return null;
        }
        if (!(value instanceof List<?> items)) {
            throw invalid(key, "must be an array");
        }
        Set<Integer> result = new HashSet<>();
        for (Object item : items) {
            if (!(item instanceof Integer index)) {
                throw invalid(key, "must hold whole numbers");
            }
            result.add(index);
        }
        return result;
    }

    private long readWholeNumber(String key) throws InvalidSettingsException {
        return Math.round(readNumber(key));
    }

    private boolean readFlag(String key) {
        return Boolean.TRUE.equals(values.get(key));
    }

    private String readText(String key, String defaultValue) throws InvalidSettingsException {
        Object value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof String text) {
            return text;
        }
        throw invalid(key, "must be a text");
    }

    private SettingsReader readObject(String key) throws InvalidSettingsException {
        Object value = values.get(key);
        return new SettingsReader(
                value == null ? Map.of() : asObject(value, key), path + key + ".");
    }

    private List<SettingsReader> readObjects(String key) throws InvalidSettingsException {
        List<SettingsReader> result = new ArrayList<>();
        Object value = values.get(key);
        if (value != null && !(value instanceof List<?>)) {
            throw invalid(key, "must be an array");
        }
        if (value instanceof List<?> items) {
            for (int i = 0; i < items.size(); i++) {
                String indexedKey = key + "[" + i + "]";
                result.add(
                        new SettingsReader(
                                asObject(items.get(i), indexedKey), path + indexedKey + "."));
            }
        }
        return result;
    }

    @SuppressWarnings("unchecked")
    private Map<String, Object> asObject(Object value, String key) throws InvalidSettingsException {
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw invalid(key, "must be an object");
    }

    private InvalidSettingsException invalid(String key, String problem) {
        return new InvalidSettingsException("params." + path + key + " " + problem);
    }
}
