package passhatch.fleet;

import java.util.List;

/** The state that this process announces about itself. */
final class LocalMember {

    private final String name;
    private final String version;
    private final String roles;
    private int addressIndex;
    private Incarnation incarnation;
    private boolean leaving;
    private boolean superseded;

    LocalMember(FleetSettings settings, long epoch, int runId) {
        this.name = settings.name();
        this.version = settings.version();
        this.roles = settings.roles();
        this.addressIndex = settings.ownAddressIndex();
        this.incarnation = new Incarnation(epoch, runId, 0);
    }

    String name() {
        return name;
    }

    Incarnation incarnation() {
        return incarnation;
    }

    void incarnation(Incarnation newer) {
        incarnation = newer;
    }

    void addressIndex(int newIndex) {
        addressIndex = newIndex;
    }

    boolean leaving() {
        return leaving;
    }

    void leave() {
        leaving = true;
    }

    /**
     * Returns whether a newer process uses this process's name. If so, this process does not
     * participate in the fleet. It still receives updates, so that it notices when the newer
     * process ends.
     */
    boolean superseded() {
        return superseded;
    }

    void superseded(boolean newValue) {
        superseded = newValue;
    }

    MemberUpdate currentUpdate() {
        return new MemberUpdate(
                leaving ? Status.LEFT : Status.ALIVE,
                name,
                incarnation,
                addressIndex,
                version,
                roles,
                List.of());
    }
}
