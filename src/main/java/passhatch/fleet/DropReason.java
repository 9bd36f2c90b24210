package passhatch.fleet;

import java.util.Locale;

/** Why a datagram was dropped on receipt, or not sent. */
public enum DropReason {
    /** It is too long or too short. */
    SIZE,
    /** Its format version is not one that this program reads. */
    VERSION,
    /** Its checksum does not match. */
    CHECKSUM,
    /** It belongs to another fleet. */
    FLEET,
    /** It is not a message, or a field is out of bounds. */
    FORM,
    /** It was received from an address that is not configured. */
    STRANGER,
    /** It was sent by this process itself. */
    ECHO,
    /** It was not sent because the rate limit is reached. */
    BUDGET;

    /** The name in metrics and JSON. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
