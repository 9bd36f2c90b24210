package passhatch.agent.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A TOML file whose content is converted to records. The message of an error names the file, the
 * key or the line, and what was expected. Times are written like {@code "250ms"}, {@code "5s"} or
 * {@code "2m"}.
 */
public final class TomlFile {

    private static final TomlMapper TOML =
            TomlMapper.builder()
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .enable(
                            DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES,
                            DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .addModule(
                            new SimpleModule()
                                    .addDeserializer(Duration.class, new DurationDeserializer()))
                    .build();

    private final String name;
    private final ObjectNode tree;

    private TomlFile(String name, ObjectNode tree) {
        this.name = name;
        this.tree = tree;
    }

    /** Reads a file and checks only that the file is valid TOML. */
    public static TomlFile read(Path file) {
        try {
            return of(file.toString(), Files.readString(file));
        } catch (IOException unreadable) {
            throw new InvalidInputException(file + ": cannot be read: " + unreadable);
        }
    }

    /** Parses a text as if it were the content of a file with the given name. */
    public static TomlFile of(String name, String text) {
        try {
            return new TomlFile(name, TOML.readTree(text).deepCopy());
        } catch (JsonProcessingException malformed) {
            JsonLocation location = malformed.getLocation();
            throw new InvalidInputException(
                    name
                            + (location == null ? "" : ":" + location.getLineNr())
                            + ": not TOML: "
                            + firstLine(malformed.getOriginalMessage()));
        }
    }

    /** Returns the file's name, for error messages. */
    public String name() {
        return name;
    }

    /**
     * Returns the parsed content. The caller may change the content before it calls {@link #as}.
     */
    public ObjectNode tree() {
        return tree;
    }

    /**
     * Returns a copy of this file with default values for the keys that this file omits. The
     * defaults are given as TOML.
     */
    public TomlFile withDefaults(String defaults) {
        ObjectNode merged = of(name, defaults).tree;
        merge(merged, tree);
        return new TomlFile(name, merged);
    }

    private static void merge(ObjectNode into, JsonNode from) {
        from.properties()
                .forEach(
                        field -> {
                            JsonNode existing = into.get(field.getKey());
                            if (existing instanceof ObjectNode object
                                    && field.getValue().isObject()) {
                                merge(object, field.getValue());
                            } else {
                                into.set(field.getKey(), field.getValue());
                            }
                        });
    }

    /** Converts the content to a record of the given type. */
    public <T> T as(Class<T> type) {
        try {
            return TOML.treeToValue(tree, type);
        } catch (UnrecognizedPropertyException unknown) {
            throw new InvalidInputException(
                    name
                            + ": "
                            + path(unknown)
                            + ": unknown key; expected one of "
                            + unknown.getKnownPropertyIds().stream()
                                    .map(String::valueOf)
                                    .sorted()
                                    .collect(Collectors.joining(", ")));
        } catch (JsonMappingException invalid) {
            throw new InvalidInputException(name + ": " + path(invalid) + ": " + reason(invalid));
        } catch (JsonProcessingException invalid) {
            throw new InvalidInputException(name + ": " + firstLine(invalid.getOriginalMessage()));
        }
    }

    /**
     * If the condition does not hold, throws {@link InvalidInputException} with a message that
     * names the key and the expected value.
     */
    public void require(boolean condition, String key, String expected) {
        if (!condition) {
            throw new InvalidInputException(name + ": " + key + ": expected " + expected);
        }
    }

    private static String path(JsonMappingException invalid) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference step : invalid.getPath()) {
            if (step.getFieldName() == null) {
                path.append('[').append(step.getIndex() + 1).append(']');
            } else {
                path.append(path.isEmpty() ? "" : ".").append(step.getFieldName());
            }
        }
        return path.isEmpty() ? "the file" : path.toString();
    }

    private static String reason(JsonMappingException invalid) {
        if (invalid instanceof InvalidFormatException format
                && format.getTargetType() != null
                && format.getTargetType().isEnum()) {
            return "'"
                    + format.getValue()
                    + "': expected one of "
                    + Arrays.stream(format.getTargetType().getEnumConstants())
                            .map(c -> c.toString().toLowerCase(Locale.ROOT))
                            .collect(Collectors.joining(", "));
        }
        return firstLine(invalid.getOriginalMessage());
    }

    private static String firstLine(String text) {
        return text.lines().findFirst().orElse(text);
    }

    /** Parses times like 250ms, 5s, 2m or 0.5s. */
    private static final class DurationDeserializer extends StdDeserializer<Duration> {
        private static final long serialVersionUID = 1L;
        private static final Pattern FORMAT =
                Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(us|ms|s|m|h)");

        DurationDeserializer() {
            super(Duration.class);
        }

        @Override
        public Duration deserialize(JsonParser parser, DeserializationContext context)
                throws IOException {
            String text = parser.getValueAsString("");
            Matcher parts = FORMAT.matcher(text.strip());
            if (!parts.matches()) {
                throw JsonMappingException.from(
                        parser, "'" + text + "': expected a time like \"250ms\" or \"5s\"");
            }
            double us =
                    Double.parseDouble(parts.group(1))
                            * switch (parts.group(2)) {
                                case "us" -> 1;
                                case "ms" -> 1e3;
                                case "s" -> 1e6;
                                case "m" -> 6e7;
                                default -> 3.6e9;
                            };
            return Duration.ofNanos((long) (us * 1_000));
        }
    }
}
