package passhatch.lab.scale;

import java.util.Arrays;
import java.util.Locale;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Events that {@code scale distribution} measures, in the order in which they run. */
enum DistributionEvent {
    /** No changes. */
    IDLE,
    /** Changes without a fault. */
    CHANGES,
    /** A relay is killed in the middle of changes. */
    RELAY_KILLED,
    /** The leader is killed in the middle of changes. */
    LEADER_KILLED,
    /** A zone is partitioned from the others during changes, and reconnects. */
    ZONE_CUT,
    /** A region is partitioned from the others during changes, and reconnects. */
    REGION_CUT,
    /**
     * A tenth of the subscribers are stopped during changes, and then start from disk at the same
     * time.
     */
    TENTH_RESTARTED,
    /** All subscribers start with an empty disk at the same time. */
    COLD;

    /**
     * Returns the event's name in lower case, as it is used in options and as the prefix of figure
     * names.
     */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Converts an option value, which is a {@link #label}, to the event with this label. */
    static final class Converter implements ITypeConverter<DistributionEvent> {
        @Override
        public DistributionEvent convert(String label) {
            return Arrays.stream(values())
                    .filter(event -> event.label().equals(label))
                    .findFirst()
                    .orElseThrow(() -> new TypeConversionException(errorMessage(label)));
        }

        private static String errorMessage(String label) {
            String labels =
                    String.join(
                            ", ", Arrays.stream(values()).map(DistributionEvent::label).toList());
            return "expected some of " + labels + "; not '" + label + "'";
        }
    }
}
