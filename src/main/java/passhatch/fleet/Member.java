package passhatch.fleet;

/**
 * What this process knows about one member. Instances are immutable, so several views in one
 * process can share them.
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

    /** Returns the {@link Names#hash} of this member's name. */
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
     * Returns this member with a newer update. If the update changes the status, the new status
     * starts at {@code nowUs}.
     */
    Member withUpdate(MemberUpdate update, long nowUs) {
        long newSinceUs = update.status() == lastUpdate.status() ? statusSinceUs : nowUs;
        return new Member(update, nameHash, addressIndex, newSinceUs);
    }

    /**
     * Returns this member with the start of its status moved later. Used after a stall of this
     * process, because the time of the stall does not count towards a suspicion timeout.
     */
    Member withStatusDelayed(long delayUs) {
        return new Member(lastUpdate, nameHash, addressIndex, statusSinceUs + delayUs);
    }

    /** Returns this member with another address index; -1 if its address is not known. */
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
