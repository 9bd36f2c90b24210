package passhatch.lab.scale;

import java.util.Arrays;
import java.util.Locale;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** What {@code scale distribution} measures, in the order in which it is played. */
enum DistributionEvent {
    /** No changes. */
    IDLE,
    /** Changes without a fault. */
    CHANGES,
    /** A relay is killed in the middle of changes. */
    RELAY_KILLED,
    /** The leader is killed in the middle of changes. */
    LEADER_KILLED,
    /** A zone is cut off during changes, and comes back. */
    ZONE_CUT,
    /** A region is cut off during changes, and comes back. */
    REGION_CUT,
    /** A tenth of the subscribers miss changes and start from disk at once. */
    TENTH_RESTARTED,
    /** All subscribers start with an empty disk at once. */
    COLD;

    /** Its name as an option and as the beginning of the names of its figures. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Reads a {@link #label}. */
    static final class Converter implements ITypeConverter<DistributionEvent> {
        @Override
        public DistributionEvent convert(String label) {
            return Arrays.stream(values())
                    .filter(event -> event.label().equals(label))
                    .findFirst()
                    .orElseThrow(() -> new TypeConversionException(expected(label)));
        }

        private static String expected(String label) {
            String labels =
                    String.join(
                            ", ", Arrays.stream(values()).map(DistributionEvent::label).toList());
            return "expected some of " + labels + "; not '" + label + "'";
        }
    }
}
