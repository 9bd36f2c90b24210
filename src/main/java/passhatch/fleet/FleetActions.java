package passhatch.fleet;

/** What the state machine asks of whoever drives it. All calls come within a call to it. */
public interface FleetActions {

    /** Sends a datagram to the address at this place of the list; it may get lost. */
    void send(int addressIndex, byte[] datagram);

    /**
     * Makes this epoch durable. It is used only if this returns true, and then no start may ever
     * use it again.
     */
    boolean persistEpoch(long epoch);

    /** What is thought of a member has changed. {@code before} is null for one not known so far. */
    void memberChanged(Status before, MemberInfo after);

    /** Something that those on call should read; one line. */
    void warn(String text);
}
