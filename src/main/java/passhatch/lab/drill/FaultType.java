package passhatch.lab.drill;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * The types of fault that a drill injects, and of the steps that undo them. Scenario files use
 * their names in lower case.
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
    /** Crashes a backend; discovery removes it from the list. */
    CRASH(TargetType.BACKEND),
    /** Restarts a backend cold; discovery lists it again. */
    RETURN(TargetType.BACKEND),
    /** Drains a backend; discovery lists it as draining. */
    DRAIN(TargetType.BACKEND),
    /** Restores a backend's normal behaviour. */
    WELL(TargetType.BACKEND),
    /** Takes discovery down. */
    DOWN(TargetType.DISCOVERY),
    /** Brings discovery up again. */
    UP(TargetType.DISCOVERY),
    /** Closes all open watches of discovery once. */
    BREAK(TargetType.DISCOVERY),
    /** Makes discovery silent; its connections stay open. */
    STALL(TargetType.DISCOVERY),
    /** Ends the silence of discovery. */
    RESUME(TargetType.DISCOVERY),
    /** Makes discovery reject calls after a wait; open watches continue. */
    OVERLOAD(TargetType.DISCOVERY),
    /** Makes discovery answer calls again. */
    RELIEVE(TargetType.DISCOVERY),
    /** Delays discovery's responses to calls. */
    ANSWER_LATE(TargetType.DISCOVERY),
    /** Ends the delay of discovery's responses. */
    ANSWER_AT_ONCE(TargetType.DISCOVERY),
    /** Delays the changes that discovery sends. */
    TELL_LATE(TargetType.DISCOVERY),
    /** Ends the delay of the changes. */
    TELL_AT_ONCE(TargetType.DISCOVERY),
    /** Loses a share of the datagrams between proxies. */
    LOSE(TargetType.PEERS),
    /** Delays all datagrams between proxies. */
    DELAY(TargetType.PEERS),
    /** Duplicates a share of the datagrams. */
    DOUBLE(TargetType.PEERS),
    /** Reorders a share of the datagrams. */
    REORDER(TargetType.PEERS),
    /** Truncates a share of the datagrams to their first half. */
    CUT(TargetType.PEERS),
    /** Drops all datagrams from processes of the first group; they still receive all datagrams. */
    ONE_WAY(TargetType.PEERS),
    /** Drops datagrams between processes of different groups. */
    PARTITION(TargetType.PEERS),
    /** Ends all network faults between proxies. */
    HEAL(TargetType.PEERS);

    /** What a fault is applied to. */
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

    /** Returns the type that undoes this one after its duration; null if none does. */
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
     * Returns whether this type only undoes another. Recovery is measured after all other types.
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
