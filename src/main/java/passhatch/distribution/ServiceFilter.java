package passhatch.distribution;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collection;
import java.util.zip.CRC32C;

/**
 * A Bloom filter (Bloom, 1970) of the services whose keys a follower subscribes to. The size of the
 * filter does not depend on the number or names of the services. A filter for 30 services also
 * accepts about one in seventy of the keys of other services; the follower drops the entries of
 * these keys.
 */
public final class ServiceFilter {

    /** Size of an encoded filter in bytes. */
    public static final int BYTES = 64;

    private static final int BITS = BYTES * Byte.SIZE;
    private static final int SECOND_HASH_SHIFT = 16;

    private final byte[] bits;

    private ServiceFilter(byte[] bits) {
        this.bits = bits;
    }

    /** Returns a filter that accepts all keys. */
    public static ServiceFilter all() {
        byte[] bits = new byte[BYTES];
        Arrays.fill(bits, (byte) 0xff);
        return new ServiceFilter(bits);
    }

    /** Returns a filter that accepts the keys of these services and the keys of the whole fleet. */
    public static ServiceFilter of(Collection<String> services) {
        ServiceFilter filter = new ServiceFilter(new byte[BYTES]);
        for (String service : services) {
            int hash = hash(service);
            filter.setBit(hash);
            filter.setBit(hash >>> SECOND_HASH_SHIFT);
        }
        return filter;
    }

    /**
     * Decodes a filter that {@link #encode} has encoded.
     *
     * @param encoded {@link #BYTES} bytes
     */
    public static ServiceFilter decode(byte[] encoded) {
        if (encoded.length != BYTES) {
            throw new IllegalArgumentException("a filter has " + BYTES + " bytes");
        }
        return new ServiceFilter(encoded.clone());
    }

    /** Encodes the filter as {@link #BYTES} bytes. */
    public byte[] encode() {
        return bits.clone();
    }

    /**
     * Returns whether this filter accepts a key: true for each subscribed key, and sometimes for
     * other keys.
     */
    public boolean accepts(String key) {
        String service = ConfigKey.serviceOf(key);
        if (service == null) {
            return true;
        }
        int hash = hash(service);
        return isBitSet(hash) && isBitSet(hash >>> SECOND_HASH_SHIFT);
    }

    private void setBit(int hash) {
        int bit = hash & (BITS - 1);
        bits[bit / Byte.SIZE] |= (byte) (1 << bit % Byte.SIZE);
    }

    private boolean isBitSet(int hash) {
        int bit = hash & (BITS - 1);
        return (bits[bit / Byte.SIZE] & 1 << bit % Byte.SIZE) != 0;
    }

    private static int hash(String service) {
        CRC32C crc = new CRC32C();
        crc.update(service.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceFilter filter && Arrays.equals(bits, filter.bits);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bits);
    }
}
