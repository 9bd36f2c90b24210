package passhatch.fleet;

/**
 * Actions that the driver performs for the membership state machine. The state machine calls these
 * methods only while the driver is calling a method of the state machine.
 */
public interface FleetActions {

    /**
     * Sends a datagram to the address at an index of the address list. The datagram may get lost.
     */
    void send(int addressIndex, byte[] datagram);

    /**
     * Makes an epoch durable. Returns true if this process may use the epoch; then no later start
     * of a process may use the epoch again.
     */
    boolean persistEpoch(long epoch);

    /** Called when the status of a member changes; {@code before} is null for a new member. */
    void memberChanged(Status before, MemberInfo after);

    /** Warns the operator, in one line of text, of a condition that needs attention. */
    void warn(String text);
}
