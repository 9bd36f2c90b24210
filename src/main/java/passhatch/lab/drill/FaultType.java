package passhatch.lab.drill;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * The types of steps in a drill: those that inject a fault and those that undo one. Scenario files
 * use the names of the types in lower case.
 */
enum FaultType {
    /** Sends SIGKILL to a proxy process. */
    KILL(TargetType.PROXY),
    /** Sends SIGTERM to a proxy process. */
    TERM(TargetType.PROXY),
    /** Sends SIGSTOP to a proxy process. */
    STOP(TargetType.PROXY),
    /** Sends SIGCONT to a proxy process. */
    CONT(TargetType.PROXY),
    /** Starts a proxy process again at its previous addresses. */
    START(TargetType.PROXY),
    /** Multiplies a backend's service times by a factor. */
    SLOW(TargetType.BACKEND),
    /** Makes a backend accept requests without responding. */
    HANG(TargetType.BACKEND),
    /** Makes a backend respond to a share of its requests with status 500. */
    FAIL(TargetType.BACKEND),
    /** Makes a backend reset the connection of a share of its requests. */
    RESET(TargetType.BACKEND),
    /** Crashes a backend and removes it from the list of discovery. */
    CRASH(TargetType.BACKEND),
    /**
     * Restarts a backend and returns it to the list of discovery. The backend starts cold, with the
     * reduced capacity that the scenario sets.
     */
    RETURN(TargetType.BACKEND),
    /** Drains a backend and marks it as draining in the list of discovery. */
    DRAIN(TargetType.BACKEND),
    /** Restores a backend's normal behaviour. */
    WELL(TargetType.BACKEND),
    /** Makes discovery unreachable. */
    DOWN(TargetType.DISCOVERY),
    /** Makes discovery reachable again. */
    UP(TargetType.DISCOVERY),
    /** Closes all open watches of discovery once. */
    BREAK(TargetType.DISCOVERY),
    /** Stops discovery from sending anything while its connections stay open. */
    STALL(TargetType.DISCOVERY),
    /** Lets discovery send again. */
    RESUME(TargetType.DISCOVERY),
    /** Makes discovery reject calls after a delay, while open watches continue. */
    OVERLOAD(TargetType.DISCOVERY),
    /** Makes discovery answer calls again. */
    RELIEVE(TargetType.DISCOVERY),
    /** Delays discovery's responses to calls. */
    ANSWER_LATE(TargetType.DISCOVERY),
    /** Ends the delay of discovery's responses. */
    ANSWER_AT_ONCE(TargetType.DISCOVERY),
    /** Delays the changes that discovery sends. */
    TELL_LATE(TargetType.DISCOVERY),
    /** Ends the delay of the changes that discovery sends. */
    TELL_AT_ONCE(TargetType.DISCOVERY),
    /** Loses a share of the datagrams between proxies. */
    LOSE(TargetType.PEERS),
    /** Delays all datagrams between proxies. */
    DELAY(TargetType.PEERS),
    /** Duplicates a share of the datagrams between proxies. */
    DOUBLE(TargetType.PEERS),
    /** Reorders a share of the datagrams between proxies. */
    REORDER(TargetType.PEERS),
    /** Truncates a share of the datagrams between proxies to their first half. */
    CUT(TargetType.PEERS),
    /**
     * Drops all datagrams that proxies of the first group send; these proxies still receive
     * datagrams from all others.
     */
    ONE_WAY(TargetType.PEERS),
    /** Drops datagrams between proxies of different groups. */
    PARTITION(TargetType.PEERS),
    /** Ends all network faults between proxies. */
    HEAL(TargetType.PEERS);

    /** The kind of target that a step acts on. */
    enum TargetType {
        PROXY,
        BACKEND,
        DISCOVERY,
        PEERS
    }

    private final TargetType targetType;

    FaultType(TargetType targetType) {
        this.targetType = targetType;
    }

    TargetType targetType() {
        return targetType;
    }

    /**
     * Returns the type of the step that undoes this fault after its duration; null if no step
     * undoes it.
     */
    FaultType undoneBy() {
        return switch (this) {
            case KILL, TERM -> START;
            case STOP -> CONT;
            case SLOW, HANG, FAIL, RESET -> WELL;
            case CRASH, DRAIN -> RETURN;
            case DOWN -> UP;
            case OVERLOAD -> RELIEVE;
            case ANSWER_LATE -> ANSWER_AT_ONCE;
            case STALL -> RESUME;
            case TELL_LATE -> TELL_AT_ONCE;
            case LOSE, DELAY, DOUBLE, REORDER, CUT, ONE_WAY, PARTITION -> HEAL;
            default -> null;
        };
    }

    /**
     * Returns whether a step of this type only undoes a fault. Recovery is measured after the steps
     * of all other types.
     */
    boolean undoesFault() {
        return switch (this) {
            case CONT,
                    START,
                    RETURN,
                    WELL,
                    UP,
                    RELIEVE,
                    RESUME,
                    ANSWER_AT_ONCE,
                    TELL_AT_ONCE,
                    HEAL ->
                    true;
            default -> false;
        };
    }

    @JsonValue
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
