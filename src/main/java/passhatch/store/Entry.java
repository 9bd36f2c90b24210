package passhatch.store;

import java.util.Arrays;

/**
 * A record as passed to and from the store.
 *
 * @param kind chosen by the user, from 1 to 32,767; the store does not interpret it
 * @param bytes its content, at most {@link Format#MAX_RECORD_BYTES} bytes
 */
public record Entry(int kind, byte[] bytes) {

    /** The maximum kind. */
    public static final int MAX_KIND = Short.MAX_VALUE;

    @Override
    public boolean equals(Object other) {
        return other instanceof Entry e && e.kind == kind && Arrays.equals(e.bytes, bytes);
    }

    @Override
    public int hashCode() {
        return 31 * kind + Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Entry[" + kind + ", " + bytes.length + " bytes]";
    }
}
