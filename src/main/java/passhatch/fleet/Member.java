package passhatch.fleet;

/**
 * What this process knows of one member. Immutable, so that several views in one process can share
 * it until one of them changes.
 */
final class Member {

    private final MemberUpdate lastUpdate;
    private final int nameHash;
    private final int addressIndex;
    private final long statusSinceUs;

    Member(MemberUpdate lastUpdate, long statusSinceUs) {
        this(lastUpdate, Names.hash(lastUpdate.name()), -1, statusSinceUs);
    }

    private Member(MemberUpdate lastUpdate, int nameHash, int addressIndex, long statusSinceUs) {
        this.lastUpdate = lastUpdate;
        this.nameHash = nameHash;
        this.addressIndex = addressIndex;
        this.statusSinceUs = statusSinceUs;
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

    long statusSinceUs() {
        return statusSinceUs;
    }

    int addressIndex() {
        return addressIndex;
    }

    /**
     * Returns the member with a newer update; the time of its status restarts if the status
     * differs.
     */
    Member withUpdate(MemberUpdate update, long nowUs) {
        long since = update.status() == lastUpdate.status() ? statusSinceUs : nowUs;
        return new Member(update, nameHash, addressIndex, since);
    }

    /**
     * Returns the member with its status time moved later, as the time of a stall does not count.
     */
    Member withStatusDelayed(long byUs) {
        return new Member(lastUpdate, nameHash, addressIndex, statusSinceUs + byUs);
    }

    /** Returns the member at another address, or -1 if none is known. */
    Member withAddressIndex(int newIndex) {
        return new Member(lastUpdate, nameHash, newIndex, statusSinceUs);
    }

    MemberInfo info() {
        return new MemberInfo(
                lastUpdate.name(),
                lastUpdate.status(),
                lastUpdate.incarnation(),
                lastUpdate.version(),
                lastUpdate.roles(),
                statusSinceUs,
                addressIndex);
    }
}
