package passhatch.fleet;

import java.util.Locale;

/** The reason why a datagram was dropped on receipt or was not sent. */
public enum DropReason {
    /** The datagram is too long or too short. */
    SIZE,
    /** The datagram has a format version that this program does not read. */
    VERSION,
    /** The datagram's checksum does not match. */
    CHECKSUM,
    /** The datagram belongs to another fleet. */
    FLEET,
    /** The datagram is not a message, or one of its fields is out of bounds. */
    FORM,
    /** The datagram was received from an address that is not configured. */
    STRANGER,
    /** The datagram was sent by this process itself. */
    ECHO,
    /** The datagram was not sent because the rate limit was reached. */
    BUDGET;

    /** Returns the name of this reason in metrics and JSON. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
