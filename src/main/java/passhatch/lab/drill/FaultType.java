package passhatch.lab.drill;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** What can be done to the fleet and what surrounds it, by the name that scenario files use. */
enum FaultType {
    /** SIGKILL to a process of the program. */
    KILL(TargetType.PROXY),
    /** SIGTERM to it. */
    TERM(TargetType.PROXY),
    /** SIGSTOP to it. */
    STOP(TargetType.PROXY),
    /** SIGCONT to it. */
    CONT(TargetType.PROXY),
    /** Starts it again, at its addresses. */
    START(TargetType.PROXY),
    /** A backend's times grow by a factor. */
    SLOW(TargetType.BACKEND),
    /** It takes work and answers nothing. */
    HANG(TargetType.BACKEND),
    /** A share of its answers is 500. */
    FAIL(TargetType.BACKEND),
    /** A share of its requests ends in a reset. */
    RESET(TargetType.BACKEND),
    /** Its machine's process dies, and discovery says so. */
    CRASH(TargetType.BACKEND),
    /** It starts again, cold, and discovery lists it. */
    RETURN(TargetType.BACKEND),
    /** Discovery says that it drains, and it does. */
    DRAIN(TargetType.BACKEND),
    /** It is well again. */
    WELL(TargetType.BACKEND),
    /** Discovery is down. */
    DOWN(TargetType.DISCOVERY),
    /** It is there again. */
    UP(TargetType.DISCOVERY),
    /** Its watches break off once. */
    BREAK(TargetType.DISCOVERY),
    /** It says nothing. */
    STALL(TargetType.DISCOVERY),
    /** It speaks again. */
    RESUME(TargetType.DISCOVERY),
    /** Its calls wait and are turned away; open watches go on. */
    OVERLOAD(TargetType.DISCOVERY),
    /** Its calls are answered again. */
    RELIEVE(TargetType.DISCOVERY),
    /** It answers calls late. */
    ANSWER_LATE(TargetType.DISCOVERY),
    /** It answers them at once again. */
    ANSWER_AT_ONCE(TargetType.DISCOVERY),
    /** It tells changes late. */
    TELL_LATE(TargetType.DISCOVERY),
    /** It tells them at once again. */
    TELL_AT_ONCE(TargetType.DISCOVERY),
    /** A share of datagrams is lost. */
    LOSE(TargetType.PEERS),
    /** All datagrams come late. */
    DELAY(TargetType.PEERS),
    /** A share comes twice. */
    DOUBLE(TargetType.PEERS),
    /** A share is overtaken. */
    REORDER(TargetType.PEERS),
    /** Of a share only the first half comes. */
    CUT(TargetType.PEERS),
    /** Processes of the first group are heard by no other and hear all. */
    ONE_WAY(TargetType.PEERS),
    /** Only processes of one group reach each other. */
    PARTITION(TargetType.PEERS),
    /** All datagrams arrive again, at once. */
    HEAL(TargetType.PEERS);

    /** What a fault is done to. */
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

    /** What undoes it, after the time that a file gives it; null where nothing does. */
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

    /** Whether it only undoes another: recovery is measured after those that harm. */
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
