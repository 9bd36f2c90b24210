package passhatch.distribution;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Format of keys and values: {@code service/NAME/SETTING} for one service, {@code fleet/SETTING}
 * for the whole fleet. Keys and values have size limits, so that any entry fits into one datagram.
 */
public final class ConfigKey {

    /** Maximum length of a key in characters, all of them ASCII. */
    public static final int MAX_KEY_LENGTH = 60;

    /** Maximum length of a value in bytes of UTF-8. */
    public static final int MAX_VALUE_BYTES = 96;

    private static final String SERVICE_PREFIX = "service/";
    private static final Pattern KEY_PATTERN =
            Pattern.compile("(service/[a-z0-9][a-z0-9.-]*|fleet)/[a-z][a-z0-9_]*");

    private ConfigKey() {}

    /** Returns whether a text has the format of a key. */
    public static boolean isKey(String text) {
        return text.length() <= MAX_KEY_LENGTH && KEY_PATTERN.matcher(text).matches();
    }

    /** Returns whether a text is within the size limit of a value. */
    public static boolean isValue(String text) {
        return text.length() <= MAX_VALUE_BYTES
                && text.getBytes(StandardCharsets.UTF_8).length <= MAX_VALUE_BYTES;
    }

    /** Returns the service that a key belongs to; null for a key of the whole fleet. */
    public static String serviceOf(String key) {
        return key.startsWith(SERVICE_PREFIX)
                ? key.substring(SERVICE_PREFIX.length(), key.lastIndexOf('/'))
                : null;
    }

    /** Returns the last part of a key, which names the setting. */
    public static String settingOf(String key) {
        return key.substring(key.lastIndexOf('/') + 1);
    }
}
