package passhatch.fleet;

/** What this process knows of one member. */
final class Member {

    private Fact fact;
    private long sinceUs;
    private int address = -1;

    Member(Fact fact, long sinceUs) {
        this.fact = fact;
        this.sinceUs = sinceUs;
    }

    String name() {
        return fact.name();
    }

    Status status() {
        return fact.status();
    }

    Fact fact() {
        return fact;
    }

    /** Takes another statement; the time starts anew where it is another status. */
    void fact(Fact newer, long nowUs) {
        if (newer.status() != fact.status()) {
            sinceUs = nowUs;
        }
        fact = newer;
    }

    long sinceUs() {
        return sinceUs;
    }

    /** Time in which this process was held up does not count. */
    void later(long byUs) {
        sinceUs += byUs;
    }

    int address() {
        return address;
    }

    void address(int place) {
        address = place;
    }

    MemberInfo info() {
        return new MemberInfo(
                fact.name(),
                fact.status(),
                fact.incarnation(),
                fact.version(),
                fact.roles(),
                sinceUs,
                address);
    }
}
