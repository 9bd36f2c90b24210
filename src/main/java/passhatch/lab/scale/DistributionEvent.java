package passhatch.lab.scale;

import java.util.Arrays;
import java.util.Locale;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Events that {@code scale distribution} measures, in the order in which they run. */
enum DistributionEvent {
    /** No changes are made. */
    IDLE,
    /** Changes are made, and no fault occurs. */
    CHANGES,
    /** A relay is killed halfway through a series of changes. */
    RELAY_KILLED,
    /** The leader is killed halfway through a series of changes. */
    LEADER_KILLED,
    /** A zone is partitioned from the others while changes are made, and then reconnected. */
    ZONE_CUT,
    /** A region is partitioned from the others while changes are made, and then reconnected. */
    REGION_CUT,
    /**
     * A tenth of the subscribers are stopped while changes are made. They then start at the same
     * time from the state on their disks.
     */
    TENTH_RESTARTED,
    /** All subscribers are restarted at the same time with empty disks. */
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
