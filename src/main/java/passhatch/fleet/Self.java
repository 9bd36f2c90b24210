package passhatch.fleet;

import java.util.List;

/** What this process says of itself. */
final class Self {

    private final String name;
    private final String version;
    private final String roles;
    private int number;
    private Incarnation incarnation;
    private boolean leaving;
    private boolean givenWay;

    Self(FleetSettings settings, long epoch, int life) {
        this.name = settings.name();
        this.version = settings.version();
        this.roles = settings.roles();
        this.number = settings.ownNumber();
        this.incarnation = new Incarnation(epoch, life, 0);
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

    void number(int place) {
        number = place;
    }

    boolean leaving() {
        return leaving;
    }

    void leave() {
        leaving = true;
    }

    /**
     * Whether a newer process has this name: then this one takes no part but to hear when that one
     * ends.
     */
    boolean givenWay() {
        return givenWay;
    }

    void givenWay(boolean now) {
        givenWay = now;
    }

    Fact fact() {
        return new Fact(
                leaving ? Status.LEFT : Status.ALIVE,
                name,
                incarnation,
                number,
                version,
                roles,
                List.of());
    }
}
