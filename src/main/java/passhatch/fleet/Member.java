package passhatch.fleet;

/**
 * What this process knows of one member. Immutable, so that views in one process can share it until
 * one of them changes its mind.
 */
final class Member {

    private final Fact fact;
    private final int hash;
    private final int address;
    private final long sinceUs;

    Member(Fact fact, long sinceUs) {
        this(fact, Names.hash(fact.name()), -1, sinceUs);
    }

    private Member(Fact fact, int hash, int address, long sinceUs) {
        this.fact = fact;
        this.hash = hash;
        this.address = address;
        this.sinceUs = sinceUs;
    }

    String name() {
        return fact.name();
    }

    /** {@link Names#hash} of its name. */
    int hash() {
        return hash;
    }

    Status status() {
        return fact.status();
    }

    Fact fact() {
        return fact;
    }

    long sinceUs() {
        return sinceUs;
    }

    int address() {
        return address;
    }

    /** The same member with another statement; the time starts anew where the status differs. */
    Member withFact(Fact newer, long nowUs) {
        long since = newer.status() == fact.status() ? sinceUs : nowUs;
        return new Member(newer, hash, address, since);
    }

    /** Time in which this process was held up does not count. */
    Member later(long byUs) {
        return new Member(fact, hash, address, sinceUs + byUs);
    }

    /** The same member, found at another address; -1 where none is known. */
    Member withAddress(int place) {
        return new Member(fact, hash, place, sinceUs);
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
