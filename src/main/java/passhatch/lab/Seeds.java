package passhatch.lab;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Random streams of one seed, one for each component: a further draw in one shifts no other. */
public final class Seeds {

    private final long seed;

    /** The streams of this seed. */
    public Seeds(long seed) {
        this.seed = seed;
    }

    /** The stream of a component; the same name gives the same stream. */
    public UniformRandomProvider stream(String component) {
        CRC32C crc = new CRC32C();
        crc.update(component.getBytes(StandardCharsets.UTF_8));
        // Mixed first: this generator's first draws are alike for seeds that differ in a few bits.
        UniformRandomProvider mixed = RandomSource.SPLIT_MIX_64.create(seed ^ crc.getValue() << 32);
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                new long[] {mixed.nextLong(), mixed.nextLong()});
    }
}
