package passhatch.fleet;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * All members that this process knows, including itself, and their addresses as far as they are
 * known.
 */
final class View {

    /** Maximum number of members; updates about further ones are ignored. */
    static final int MAX_MEMBERS = Membership.MAX_MEMBERS;

    private final Set<String> suspects = new LinkedHashSet<>();

    /**
     * The last update about each removed member, kept so that an older update does not add the
     * member again.
     */
    private final Map<String, MemberUpdate> lastUpdatesOfRemoved =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, MemberUpdate> eldest) {
                    return size() > MAX_MEMBERS;
                }
            };

    private MemberTable members = new MemberTable();
    private AddressTable addressTable;
    private Digests digests = new Digests();
    private int presentCount;

    /**
     * Every member that is failed or left took that status at this time or later, in microseconds.
     */
    private long earliestAbsenceUs = Long.MAX_VALUE;

    View(int addressCount) {
        addressTable = new AddressTable(addressCount);
    }

    /**
     * Replaces the content of this view with the content of another view. The two views share their
     * state until either of them changes.
     */
    void adopt(View other) {
        members = new MemberTable(other.members);
        addressTable = new AddressTable(other.addressTable);
        digests = new Digests(other.digests);
        presentCount = other.presentCount;
        earliestAbsenceUs = other.earliestAbsenceUs;
        suspects.clear();
        suspects.addAll(other.suspects);
    }

    Member get(String name) {
        return members.get(name);
    }

    Stream<Member> all() {
        return members.all();
    }

    List<Member> membersOfLeaf(int leafIndex) {
        return members.membersOfLeaf(leafIndex);
    }

    /** Returns the members that are suspect now. The view may change while the list is iterated. */
    List<Member> suspects() {
        return suspects.stream().map(members::get).toList();
    }

    boolean hasSuspects() {
        return !suspects.isEmpty();
    }

    /** Extends all suspicions by the length of a stall of this process. */
    void extendSuspicions(long stallUs) {
        suspects().forEach(m -> members.put(m.withStatusDelayed(stallUs)));
    }

    Digests digests() {
        return digests;
    }

    /** Returns the number of members that are alive or suspect, including this process. */
    int presentCount() {
        return presentCount;
    }

    int addressCount() {
        return addressTable.length();
    }

    /** Returns the member at an index of the address list, or null if none is known. */
    Member memberAt(int addressIndex) {
        String name = addressTable.get(addressIndex);
        return name == null ? null : members.get(name);
    }

    /** Returns the last update about a removed member, or null if no such member was removed. */
    MemberUpdate lastUpdateOfRemoved(String name) {
        return lastUpdatesOfRemoved.get(name);
    }

    /**
     * Adds a member and returns it, or returns null if the view already has the maximum number of
     * members.
     */
    Member add(MemberUpdate update, long nowUs) {
        if (members.size() >= MAX_MEMBERS) {
            return null;
        }
        Member member = new Member(update, nowUs);
        members.put(member);
        lastUpdatesOfRemoved.remove(update.name());
        adjustCounts(member, 1);
        return placeByHint(member);
    }

    /** Replaces the last update about a member and returns the changed member. */
    Member change(Member member, MemberUpdate update, long nowUs) {
        Member changed = member.withUpdate(update, nowUs);
        adjustCounts(member, -1);
        members.put(changed);
        adjustCounts(changed, 1);
        return placeByHint(changed);
    }

    private void adjustCounts(Member member, int by) {
        digests.toggle(member.lastUpdate());
        if (member.status().present()) {
            presentCount += by;
        } else {
            earliestAbsenceUs = Math.min(earliestAbsenceUs, member.statusSinceUs());
        }
        if (member.status() == Status.SUSPECT) {
            if (by > 0) {
                suspects.add(member.name());
            } else {
                suspects.remove(member.name());
            }
        }
    }

    /**
     * Places a member at the index that it announces for itself, if its address is not yet known
     * and no other member is placed there.
     */
    private Member placeByHint(Member member) {
        int hintIndex = member.lastUpdate().addressIndex();
        boolean usable =
                hintIndex >= 0
                        && hintIndex < addressTable.length()
                        && addressTable.get(hintIndex) == null;
        return member.addressIndex() < 0 && usable ? setAddress(member, hintIndex) : member;
    }

    /** Records the address from which a member's datagram was received. */
    void confirmAddress(Member member, int addressIndex) {
        if (member.addressIndex() != addressIndex
                || !member.name().equals(addressTable.get(addressIndex))) {
            Member previous = memberAt(addressIndex);
            if (previous != null
                    && !previous.name().equals(member.name())
                    && previous.addressIndex() == addressIndex) {
                members.put(previous.withAddressIndex(-1));
            }
            setAddress(member, addressIndex);
        }
    }

    private Member setAddress(Member member, int addressIndex) {
        Member moved = member.withAddressIndex(addressIndex);
        addressTable.set(addressIndex, member.name());
        members.put(moved);
        return moved;
    }

    /** Removes the members that failed or left before a given time. */
    void removeAbsentBefore(long timeUs) {
        if (earliestAbsenceUs >= timeUs) {
            return;
        }
        earliestAbsenceUs = Long.MAX_VALUE;
        members.all()
                .filter(m -> !m.status().present())
                .forEach(m -> removeIfAbsentBefore(m, timeUs));
    }

    private void removeIfAbsentBefore(Member absent, long timeUs) {
        if (absent.statusSinceUs() < timeUs) {
            remove(absent);
        } else {
            earliestAbsenceUs = Math.min(earliestAbsenceUs, absent.statusSinceUs());
        }
    }

    /** Removes a member but keeps the last update about it. */
    private void remove(Member member) {
        digests.toggle(member.lastUpdate());
        members.remove(member);
        if (member.addressIndex() >= 0
                && member.name().equals(addressTable.get(member.addressIndex()))) {
            addressTable.set(member.addressIndex(), null);
        }
        lastUpdatesOfRemoved.put(member.name(), member.lastUpdate());
    }

    /**
     * Switches to a new address list. {@code newIndexes} gives, for each index of the old list, the
     * index in the new list, or -1 if the address was removed.
     */
    void remap(int[] newIndexes, int addressCount) {
        AddressTable previous = addressTable;
        addressTable = new AddressTable(addressCount);
        for (int i = 0; i < previous.length(); i++) {
            if (newIndexes[i] >= 0) {
                addressTable.set(newIndexes[i], previous.get(i));
            }
        }
        members.all()
                .filter(m -> m.addressIndex() >= 0)
                .forEach(m -> remap(m, newIndexes[m.addressIndex()]));
    }

    private void remap(Member member, int newIndex) {
        Member moved = member.withAddressIndex(newIndex);
        members.put(moved);
        if (newIndex < 0 && !moved.status().present()) {
            remove(moved);
        }
    }
}
