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
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {seed, crc.getValue()});
    }
}
