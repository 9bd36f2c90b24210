package passhatch.distribution;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Form of keys and values: {@code service/NAME/SETTING} for one service, {@code fleet/SETTING} for
 * all of them. Their bounds let any entry fit into one datagram.
 */
public final class ConfigKey {

    /** Longest key, in characters, all of them ASCII. */
    public static final int MAX_KEY_LENGTH = 60;

    /** Longest value, in bytes of UTF-8. */
    public static final int MAX_VALUE_BYTES = 96;

    private static final String SERVICE_PREFIX = "service/";
    private static final Pattern KEY_PATTERN =
            Pattern.compile("(service/[a-z0-9][a-z0-9.-]*|fleet)/[a-z][a-z0-9_]*");

    private ConfigKey() {}

    /** Whether a text has the form of a key. */
    public static boolean isKey(String text) {
        return text.length() <= MAX_KEY_LENGTH && KEY_PATTERN.matcher(text).matches();
    }

    /** Whether a value is short enough. */
    public static boolean isValue(String text) {
        return text.length() <= MAX_VALUE_BYTES
                && text.getBytes(StandardCharsets.UTF_8).length <= MAX_VALUE_BYTES;
    }

    /** The service whose setting a key is; null for one of the whole fleet. */
    public static String serviceOf(String key) {
        return key.startsWith(SERVICE_PREFIX)
                ? key.substring(SERVICE_PREFIX.length(), key.lastIndexOf('/'))
                : null;
    }

    /** The last part of a key. */
    public static String settingOf(String key) {
        return key.substring(key.lastIndexOf('/') + 1);
    }
}
