package passhatch.fleet;

import java.util.Locale;

/** Why a datagram was not taken, or not sent. */
public enum DropReason {
    /** Too long or too short. */
    SIZE,
    /** Of a version that this program does not speak. */
    VERSION,
    /** Its checksum does not fit. */
    CHECKSUM,
    /** Of another fleet. */
    FLEET,
    /** Not a message, or one out of its bounds. */
    FORM,
    /** From an address that is not configured. */
    STRANGER,
    /** Our own, come back. */
    ECHO,
    /** Not sent, as the bytes of this second are spent. */
    BUDGET;

    /** As it is written in figures. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
