package passhatch.lab.fleet;

import java.util.Locale;

/**
 * A fault in a simulated fleet. Its text form is one line: {@code 12000 stop 3 40000} means that
 * process 3 is stopped as by SIGSTOP at 12 s, for 40 s.
 *
 * @param atMs time since the start of the fault period, in milliseconds
 * @param kind kind of the fault
 * @param target index of the affected process; for faults that divide the network, the divisor that
 *     selects processes by their index
 * @param value duration or clock offset in milliseconds, or percentage of lost datagrams, depending
 *     on the kind
 */
public record FleetFault(long atMs, Kind kind, int target, long value) {

    /**
     * The kind of a fault. The effect of each fault ends or is undone before the run ends. Where a
     * kind has a duration, the fault's value gives it in milliseconds.
     */
    public enum Kind {
        /** The process is killed and is started again after the duration. */
        KILL,
        /** The process leaves and is started again after the duration, but not before 1.5 s. */
        LEAVE,
        /** The process is stopped for the duration. */
        STOP,
        /** The clock of the process jumps forward by the fault's value, in milliseconds. */
        JUMP,
        /**
         * The process is killed, its disk is rolled back by two starts, and it is started again
         * after the duration.
         */
        SET_BACK,
        /**
         * For the duration, two processes can exchange datagrams only if their indexes are equal
         * modulo the target.
         */
        PARTITION,
        /**
         * For the duration, datagrams from the processes whose index is divisible by the target to
         * all other processes are lost.
         */
        ONE_WAY,
        /**
         * From the time of the fault on, the network loses the percentage of datagrams that the
         * fault's value gives, duplicates a tenth of the datagrams and delays a tenth.
         */
        WEATHER
    }

    /**
     * Returns the time at which the fault ends, in milliseconds since the start of the fault
     * period.
     */
    long endMs() {
        return atMs + (kind == Kind.WEATHER || kind == Kind.JUMP ? 0 : value);
    }

    /**
     * Returns whether the fault divides the network. If it does, any process may rightly be seen as
     * failed.
     */
    boolean dividesNetwork() {
        return kind == Kind.PARTITION || kind == Kind.ONE_WAY;
    }

    @Override
    public String toString() {
        return atMs + " " + kind.name().toLowerCase(Locale.ROOT) + " " + target + " " + value;
    }

    /** Parses a fault in the text form that {@link #toString} writes. */
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
