package passhatch.fleet;

/**
 * What this process knows of one member. Immutable, so that views in one process can share it until
 * one of them changes its mind.
 */
final class Member {

    private final MemberUpdate lastUpdate;
    private final int nameHash;
    private final int addressIndex;
    private final long sinceUs;

    Member(MemberUpdate lastUpdate, long sinceUs) {
        this(lastUpdate, Names.hash(lastUpdate.name()), -1, sinceUs);
    }

    private Member(MemberUpdate lastUpdate, int nameHash, int addressIndex, long sinceUs) {
        this.lastUpdate = lastUpdate;
        this.nameHash = nameHash;
        this.addressIndex = addressIndex;
        this.sinceUs = sinceUs;
    }

    String name() {
        return lastUpdate.name();
    }

    /** {@link Names#hash} of its name. */
    int nameHash() {
        return nameHash;
    }

    Status status() {
        return lastUpdate.status();
    }

    MemberUpdate lastUpdate() {
        return lastUpdate;
    }

    long sinceUs() {
        return sinceUs;
    }

    int addressIndex() {
        return addressIndex;
    }

    /** The same member with another statement; the time starts anew where the status differs. */
    Member withUpdate(MemberUpdate update, long nowUs) {
        long since = update.status() == lastUpdate.status() ? sinceUs : nowUs;
        return new Member(update, nameHash, addressIndex, since);
    }

    /** Time in which this process was held up does not count. */
    Member withSinceDelayed(long byUs) {
        return new Member(lastUpdate, nameHash, addressIndex, sinceUs + byUs);
    }

    /** The same member, found at another address; -1 where none is known. */
    Member withAddressIndex(int newIndex) {
        return new Member(lastUpdate, nameHash, newIndex, sinceUs);
    }

    MemberInfo info() {
        return new MemberInfo(
                lastUpdate.name(),
                lastUpdate.status(),
                lastUpdate.incarnation(),
                lastUpdate.version(),
                lastUpdate.roles(),
                sinceUs,
                addressIndex);
    }
}
