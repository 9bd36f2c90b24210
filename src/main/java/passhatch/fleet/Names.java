package passhatch.fleet;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/**
 * Bounds on what is named in a datagram, so that one always has room for a statement about a
 * member.
 */
public final class Names {

    /** Characters of a member's name, at most. */
    public static final int MAX_NAME_LENGTH = 48;

    /** Characters of a fleet's name, of a version, and of all roles together, at most. */
    public static final int MAX_LABEL_LENGTH = 16;

    private static final Pattern NAME =
            Pattern.compile("[A-Za-z0-9._-]{1," + MAX_NAME_LENGTH + "}");
    private static final Pattern LABEL =
            Pattern.compile("[A-Za-z0-9._+,-]{0," + MAX_LABEL_LENGTH + "}");

    private Names() {}

    /** Whether it may name a member. */
    public static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Whether it may be a fleet's name, a version or roles. */
    public static boolean isLabel(String text) {
        return LABEL.matcher(text).matches();
    }

    /** The same at all processes, on all machines. */
    static int hash(String name) {
        CRC32C crc = new CRC32C();
        crc.update(name.getBytes(StandardCharsets.US_ASCII));
        return (int) crc.getValue();
    }
}
