package passhatch.lab.fleet;

import java.util.Locale;

/**
 * A fault in a simulated fleet, in one line: {@code 12000 stop 3 40000} is SIGSTOP of process 3 at
 * 12 s for 40 s.
 *
 * @param atMs since the beginning of the faults
 * @param target a process; for what concerns the network, how it is divided
 * @param value milliseconds that it lasts, or a share in percent
 */
public record FleetFault(long atMs, Kind kind, int target, long value) {

    /** What happens. All of it is over, or undone, after a while. */
    public enum Kind {
        /** Killed, and started again after the value's time. */
        KILL,
        /** Says that it goes, and is started again after the value's time. */
        LEAVE,
        /** Held for the value's time. */
        STOP,
        /** Its clock moves on by the value. */
        JUMP,
        /**
         * Its machine is set back by two starts, and it is started again after the value's time.
         */
        SET_BACK,
        /** Every k-th process, k the target, is cut off from the others for the value's time. */
        PARTITION,
        /** What those send to the others is lost for the value's time. */
        ONE_WAY,
        /**
         * The value's percent of all datagrams are lost from now on, and a tenth are doubled and
         * late.
         */
        WEATHER
    }

    /** When it is over. */
    long endMs() {
        return atMs + (kind == Kind.WEATHER || kind == Kind.JUMP ? 0 : value);
    }

    /** Whether processes may rightly be taken for failed by it that it is not done to. */
    boolean dividesNetwork() {
        return kind == Kind.PARTITION || kind == Kind.ONE_WAY;
    }

    @Override
    public String toString() {
        return atMs + " " + kind.name().toLowerCase(Locale.ROOT) + " " + target + " " + value;
    }

    /** Reads the form that {@link #toString} writes. */
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
