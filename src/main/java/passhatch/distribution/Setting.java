package passhatch.distribution;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * The settings that a configuration change can set in this version of the program, with the bounds
 * of their values.
 */
public enum Setting {
    /** Maximum time that a call may take, in milliseconds. */
    DEADLINE_MS(1, 600_000),
    /** Maximum number of attempts for a call, including the first. */
    MAX_ATTEMPTS(1, 3),
    /** Maximum number of connections to one backend. */
    MAX_CONNECTIONS(1, 65_535),
    /** Maximum number of calls per second from one proxy to the service; 0 for no limit. */
    CALLS_PER_SECOND(0, 1_000_000),
    /** Whether calls are sent to the service at all: 0 for no, 1 for yes. */
    ENABLED(0, 1);

    private final long minValue;
    private final long maxValue;

    Setting(long minValue, long maxValue) {
        this.minValue = minValue;
        this.maxValue = maxValue;
    }

    /** Returns the name of this setting in lower case, as it stands in the last part of a key. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Checks the key and the value of a change before it is submitted.
     *
     * @param value the new value; null to delete the key
     * @throws InvalidChangeException if the key or the value is not valid
     */
    public static void check(String key, String value) throws InvalidChangeException {
        if (!ConfigKey.isKey(key)) {
            throw new InvalidChangeException(
                    "'"
                            + key
                            + "': expected service/NAME/SETTING or fleet/SETTING, "
                            + ConfigKey.MAX_KEY_LENGTH
                            + " characters at most");
        }
        String label = ConfigKey.settingOf(key);
        Setting setting =
                Arrays.stream(values())
                        .filter(known -> known.label().equals(label))
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new InvalidChangeException(
                                                "'" + label + "': expected one of " + labels()));
        if (value != null) {
            setting.checkValue(key, value);
        }
    }

    private void checkValue(String key, String value) throws InvalidChangeException {
        boolean valid =
                value.matches("\\d{1,9}")
                        && Long.parseLong(value) >= minValue
                        && Long.parseLong(value) <= maxValue;
        if (!valid) {
            throw new InvalidChangeException(
                    key
                            + ": '"
                            + value
                            + "': expected a whole number, "
                            + minValue
                            + " to "
                            + maxValue);
        }
    }

    private static String labels() {
        return Arrays.stream(values()).map(Setting::label).collect(Collectors.joining(", "));
    }
}
