package passhatch.fleet;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * All members that this process knows of, itself among them, and at which address it finds them.
 */
final class View {

    /** Members at most; what is told of further ones is not taken. */
    static final int MAX_MEMBERS = Membership.MAX_MEMBERS;

    private final Set<String> suspects = new LinkedHashSet<>();

    /** The last word on those that are shown no more, so that old news does not bring them back. */
    private final Map<String, MemberUpdate> removed =
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

    /** No member that failed or left did so before this. */
    private long earliestAbsenceUs = Long.MAX_VALUE;

    View(int addressCount) {
        addressTable = new AddressTable(addressCount);
    }

    /** Knows from now on what the other view knows, and shares its state until either changes. */
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

    List<Member> leaf(int leafIndex) {
        return members.leaf(leafIndex);
    }

    /** Those that are suspect now; the view may change while they are gone through. */
    List<Member> suspects() {
        return suspects.stream().map(members::get).toList();
    }

    boolean hasSuspects() {
        return !suspects.isEmpty();
    }

    /** Time in which this process was held up does not count against suspects. */
    void delaySuspects(long byUs) {
        suspects().forEach(m -> members.put(m.withSinceDelayed(byUs)));
    }

    Digests digests() {
        return digests;
    }

    /** Members that are present, this one and suspects among them. */
    int presentCount() {
        return presentCount;
    }

    int addressCount() {
        return addressTable.length();
    }

    /** Who is at an address, or null. */
    Member memberAt(int addressIndex) {
        String name = addressTable.get(addressIndex);
        return name == null ? null : members.get(name);
    }

    /** The last word on a member that is shown no more, or null. */
    MemberUpdate lastUpdateOfRemoved(String name) {
        return removed.get(name);
    }

    /** A new member, or null where there are too many. */
    Member add(MemberUpdate update, long nowUs) {
        if (members.size() >= MAX_MEMBERS) {
            return null;
        }
        Member member = new Member(update, nowUs);
        members.put(member);
        removed.remove(update.name());
        adjustCounts(member, 1);
        return placeByHint(member);
    }

    /** What is thought of a member is now this; returns the member as it is now. */
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
            earliestAbsenceUs = Math.min(earliestAbsenceUs, member.sinceUs());
        }
        if (member.status() == Status.SUSPECT) {
            if (by > 0) {
                suspects.add(member.name());
            } else {
                suspects.remove(member.name());
            }
        }
    }

    /** Where a member was never heard itself, it is looked for where its own list has it. */
    private Member placeByHint(Member member) {
        int hintIndex = member.lastUpdate().addressIndex();
        boolean usable =
                hintIndex >= 0
                        && hintIndex < addressTable.length()
                        && addressTable.get(hintIndex) == null;
        return member.addressIndex() < 0 && usable ? setAddress(member, hintIndex) : member;
    }

    /** A member was heard from an address. */
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

    /** Shows those no more that failed or left before a time. */
    void removeAbsentBefore(long us) {
        if (earliestAbsenceUs >= us) {
            return;
        }
        earliestAbsenceUs = Long.MAX_VALUE;
        members.all().filter(m -> !m.status().present()).forEach(m -> removeOrKeep(m, us));
    }

    private void removeOrKeep(Member absent, long us) {
        if (absent.sinceUs() < us) {
            remove(absent);
        } else {
            earliestAbsenceUs = Math.min(earliestAbsenceUs, absent.sinceUs());
        }
    }

    /** Shows a member no more, and keeps the last word on it. */
    private void remove(Member member) {
        digests.toggle(member.lastUpdate());
        members.remove(member);
        if (member.addressIndex() >= 0
                && member.name().equals(addressTable.get(member.addressIndex()))) {
            addressTable.set(member.addressIndex(), null);
        }
        removed.put(member.name(), member.lastUpdate());
    }

    /**
     * Addresses have other places from now on; {@code newPlaces} has -1 for those that are gone.
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
