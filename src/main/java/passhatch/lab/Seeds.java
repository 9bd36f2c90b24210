package passhatch.lab;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Derives one random stream for each component from a common seed. The streams are independent, so
 * a further draw from one of them does not change the others.
 */
public final class Seeds {

    private final long seed;

    /** Creates an instance that derives all streams from a seed. */
    public Seeds(long seed) {
        this.seed = seed;
    }

    /**
     * Returns a new random stream for a component. Streams of the same component name draw the same
     * sequence.
     */
    public UniformRandomProvider stream(String component) {
        CRC32C crc = new CRC32C();
        crc.update(component.getBytes(StandardCharsets.UTF_8));
        // The seed is mixed first, as the first draws of XoRoShiRo128++ are similar for seeds that
        // differ in only a few bits.
        UniformRandomProvider mixed = RandomSource.SPLIT_MIX_64.create(seed ^ crc.getValue() << 32);
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                new long[] {mixed.nextLong(), mixed.nextLong()});
    }
}
