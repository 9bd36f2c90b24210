package passhatch.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A short soak. The long one is started by hand: {@code passhatch-lab soak}. */
class SoakIT {

    private static final Path JAR = Path.of("target/passhatch.jar").toAbsolutePath();

    @TempDir private Path folder;

    /** Guards against breaches of the rules on requests under mixes of disturbances. */
    @ParameterizedTest
    @ValueSource(longs = {1, 11, 17, 24})
    void noRuleIsBrokenByMixesOfDisturbances(long seed) throws Exception {
        SoakRun.Result result = SoakRun.play(seed, JAR, folder);
        assertEquals(List.of(), result.violations(), result.conditions());
    }
}
