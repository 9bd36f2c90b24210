package passhatch.fleet;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/** Limits on the names in a datagram, so that it always has room for one update. */
public final class Names {

    /** Most characters of a member's name. */
    public static final int MAX_NAME_LENGTH = 48;

    /** Most characters of a fleet's name, of a version, and of all roles together. */
    public static final int MAX_LABEL_LENGTH = 16;

    private static final Pattern NAME =
            Pattern.compile("[A-Za-z0-9._-]{1," + MAX_NAME_LENGTH + "}");
    private static final Pattern LABEL =
            Pattern.compile("[A-Za-z0-9._+,-]{0," + MAX_LABEL_LENGTH + "}");

    private Names() {}

    /** Whether a text is valid as a member's name. */
    public static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Whether a text is valid as a fleet's name, a version or roles. */
    public static boolean isLabel(String text) {
        return LABEL.matcher(text).matches();
    }

    /** Returns a hash that is the same in all processes on all machines. */
    static int hash(String name) {
        CRC32C crc = new CRC32C();
        crc.update(name.getBytes(StandardCharsets.US_ASCII));
        return (int) crc.getValue();
    }
}
