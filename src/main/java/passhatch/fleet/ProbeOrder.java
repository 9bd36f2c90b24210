package passhatch.fleet;

import java.util.random.RandomGenerator;

/**
 * Returns each address index once, in a random order. The order is computed step by step and is not
 * stored: a Feistel network permutes the numbers below a power of four, and numbers that are not an
 * address index are skipped (Black and Rogaway, "Ciphers with Arbitrary Finite Domains", 2002).
 */
final class ProbeOrder {

    private static final int ROUNDS = 6;

    /**
     * Minimum number of bits in each half of a permuted number. With fewer bits, some orders would
     * be much more likely than others.
     */
    private static final int MIN_HALF_BITS = 4;

    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private final int addressCount;
    private final int halfBits;
    private final long key;
    private int position;

    ProbeOrder(int addressCount, RandomGenerator random) {
        this.addressCount = addressCount;
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, addressCount - 1));
        this.halfBits = Math.max(MIN_HALF_BITS, (bits + 1) / 2);
        this.key = random.nextLong();
    }

    /** Returns the next address index, or -1 after the last one. */
    int next() {
        int end = 1 << 2 * halfBits;
        while (addressCount > 0 && position < end) {
            int addressIndex = permute(position);
            position++;
            if (addressIndex < addressCount) {
                return addressIndex;
            }
        }
        return -1;
    }

    private int permute(int number) {
        int mask = (1 << halfBits) - 1;
        int left = number >>> halfBits;
        int right = number & mask;
        for (int round = 0; round < ROUNDS; round++) {
            int mixed = left ^ mix(right, round) & mask;
            left = right;
            right = mixed;
        }
        return left << halfBits | right;
    }

    /** Mixes bits with the finalizer of SplitMix64 (Steele, Lea, Flood, 2014). */
    private int mix(int half, int round) {
        long x = key + GOLDEN_GAMMA * ((long) round << Integer.SIZE | half + 1L);
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return (int) (x ^ x >>> 31);
    }
}
