package passhatch.store;

import java.util.Arrays;

/**
 * A record that is written to the store or read from it.
 *
 * @param kind number from 1 to 32,767 that the caller chooses; the store does not interpret it
 * @param bytes content of the record, at most {@link Format#MAX_RECORD_BYTES} bytes
 */
public record Entry(int kind, byte[] bytes) {

    /** Maximum value of {@link #kind}. */
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
