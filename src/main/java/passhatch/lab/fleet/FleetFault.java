package passhatch.lab.fleet;

import java.util.Locale;

/**
 * A fault in a simulated fleet. Its text form is one line: {@code 12000 stop 3 40000} is SIGSTOP of
 * process 3 at 12 s for 40 s.
 *
 * @param atMs time since the start of the fault period, in milliseconds
 * @param target index of the process; for faults that divide the network, the divisor that selects
 *     processes
 * @param value duration or clock offset in milliseconds, or lost datagrams in percent
 */
public record FleetFault(long atMs, Kind kind, int target, long value) {

    /** The kind of a fault. Its effect ends, or is undone, by the end of a run. */
    public enum Kind {
        /** The process is killed, and started again after the duration. */
        KILL,
        /** The process leaves, and is started again after the duration, 1.5 s at least. */
        LEAVE,
        /** The process is stopped for the duration. */
        STOP,
        /** The clock of the process jumps forward by the value. */
        JUMP,
        /**
         * The process is killed, its disk is rolled back by two starts, and it is started again
         * after the duration.
         */
        SET_BACK,
        /**
         * Processes exchange datagrams only with those whose index is the same modulo the target,
         * for the duration.
         */
        PARTITION,
        /**
         * Datagrams from every k-th process, with k the target, to the others are lost for the
         * duration.
         */
        ONE_WAY,
        /**
         * From now on, the value's percent of all datagrams are lost, a tenth are duplicated and a
         * tenth are late.
         */
        WEATHER
    }

    /** Returns the time at which the fault ends. */
    long endMs() {
        return atMs + (kind == Kind.WEATHER || kind == Kind.JUMP ? 0 : value);
    }

    /**
     * Returns whether the fault divides the network, so that processes other than its target may
     * rightly be seen as failed.
     */
    boolean dividesNetwork() {
        return kind == Kind.PARTITION || kind == Kind.ONE_WAY;
    }

    @Override
    public String toString() {
        return atMs + " " + kind.name().toLowerCase(Locale.ROOT) + " " + target + " " + value;
    }

    /** Parses the form that {@link #toString} writes. */
    public static FleetFault parse(String line) {
        String[] fields = line.strip().split(" ");
        if (fields.length != 4) {
            throw new IllegalArgumentException(
                    "'" + line + "': expected time, fault, target and value");
        }
        return new FleetFault(
                Long.parseLong(fields[0]),
                Kind.valueOf(fields[1].toUpperCase(Locale.ROOT)),
                Integer.parseInt(fields[2]),
                Long.parseLong(fields[3]));
    }
}
