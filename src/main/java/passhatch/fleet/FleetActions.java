package passhatch.fleet;

/**
 * Actions that the membership state machine requires of its driver. They are called only from
 * within a call to the state machine.
 */
public interface FleetActions {

    /** Sends a datagram to the address at this index of the address list; it may get lost. */
    void send(int addressIndex, byte[] datagram);

    /**
     * Makes an epoch durable. Returns whether it may be used; no later start may then use it again.
     */
    boolean persistEpoch(long epoch);

    /** Called when the status of a member changes; {@code before} is null for a new member. */
    void memberChanged(Status before, MemberInfo after);

    /** Reports a condition that needs an operator's attention, in one line. */
    void warn(String text);
}
