package passhatch.fleet;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/**
 * Defines the valid names in a datagram. Their lengths are limited so that a datagram always has
 * room for one update.
 */
public final class Names {

    /** Maximum length of a member's name, in characters. */
    public static final int MAX_NAME_LENGTH = 48;

    /** Maximum length of a fleet's name, of a version, and of all roles together, in characters. */
    public static final int MAX_LABEL_LENGTH = 16;

    private static final Pattern NAME =
            Pattern.compile("[A-Za-z0-9._-]{1," + MAX_NAME_LENGTH + "}");
    private static final Pattern LABEL =
            Pattern.compile("[A-Za-z0-9._+,-]{0," + MAX_LABEL_LENGTH + "}");

    private Names() {}

    /** Returns whether a text is valid as a member's name. */
    public static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Returns whether a text is valid as a fleet's name, as a version or as a list of roles. */
    public static boolean isLabel(String text) {
        return LABEL.matcher(text).matches();
    }

    /** Returns a hash of a name, which is the same in all processes on all machines. */
    static int hash(String name) {
        CRC32C crc = new CRC32C();
        crc.update(name.getBytes(StandardCharsets.US_ASCII));
        return (int) crc.getValue();
    }
}
