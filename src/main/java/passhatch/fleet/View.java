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
    static final int MOST_MEMBERS = Membership.MOST_MEMBERS;

    private final Set<String> suspects = new LinkedHashSet<>();

    /** The last word on those that are shown no more, so that old news does not bring them back. */
    private final Map<String, Fact> forgotten =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Fact> eldest) {
                    return size() > MOST_MEMBERS;
                }
            };

    private MemberTable members = new MemberTable();
    private AddressTable names;
    private Digests digests = new Digests();
    private int present;

    /** No member that failed or left did so before this. */
    private long firstAbsenceUs = Long.MAX_VALUE;

    View(int addresses) {
        names = new AddressTable(addresses);
    }

    /** Knows from now on what the other view knows, and shares its state until either changes. */
    void adopt(View other) {
        members = new MemberTable(other.members);
        names = new AddressTable(other.names);
        digests = new Digests(other.digests);
        present = other.present;
        firstAbsenceUs = other.firstAbsenceUs;
        suspects.clear();
        suspects.addAll(other.suspects);
    }

    Member get(String name) {
        return members.get(name);
    }

    Stream<Member> all() {
        return members.all();
    }

    List<Member> leaf(int leaf) {
        return members.leaf(leaf);
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
        suspects().forEach(m -> members.put(m.later(byUs)));
    }

    Digests digests() {
        return digests;
    }

    /** Members that are present, this one and suspects among them. */
    int present() {
        return present;
    }

    int addresses() {
        return names.length();
    }

    /** Who is at an address, or null. */
    Member at(int address) {
        String name = names.get(address);
        return name == null ? null : members.get(name);
    }

    /** The last word on a member that is shown no more, or null. */
    Fact lastWord(String name) {
        return forgotten.get(name);
    }

    /** A new member, or null where there are too many. */
    Member add(Fact fact, long nowUs) {
        if (members.size() >= MOST_MEMBERS) {
            return null;
        }
        Member member = new Member(fact, nowUs);
        members.put(member);
        forgotten.remove(fact.name());
        count(member, 1);
        return hint(member);
    }

    /** What is thought of a member is now this; returns the member as it is now. */
    Member change(Member member, Fact fact, long nowUs) {
        Member changed = member.withFact(fact, nowUs);
        count(member, -1);
        members.put(changed);
        count(changed, 1);
        return hint(changed);
    }

    private void count(Member member, int by) {
        digests.toggle(member.fact());
        if (member.status().present()) {
            present += by;
        } else {
            firstAbsenceUs = Math.min(firstAbsenceUs, member.sinceUs());
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
    private Member hint(Member member) {
        int number = member.fact().number();
        boolean usable = number >= 0 && number < names.length() && names.get(number) == null;
        return member.address() < 0 && usable ? place(member, number) : member;
    }

    /** A member was heard from an address. */
    void heard(Member member, int address) {
        if (member.address() != address || !member.name().equals(names.get(address))) {
            Member before = at(address);
            if (before != null
                    && !before.name().equals(member.name())
                    && before.address() == address) {
                members.put(before.withAddress(-1));
            }
            place(member, address);
        }
    }

    private Member place(Member member, int address) {
        Member placed = member.withAddress(address);
        names.set(address, member.name());
        members.put(placed);
        return placed;
    }

    /** Shows those no more that failed or left before a time. */
    void forgetAbsentBefore(long us) {
        if (firstAbsenceUs >= us) {
            return;
        }
        firstAbsenceUs = Long.MAX_VALUE;
        members.all().filter(m -> !m.status().present()).forEach(m -> forgetOrKeep(m, us));
    }

    private void forgetOrKeep(Member absent, long us) {
        if (absent.sinceUs() < us) {
            forget(absent);
        } else {
            firstAbsenceUs = Math.min(firstAbsenceUs, absent.sinceUs());
        }
    }

    /** Shows a member no more, and keeps the last word on it. */
    private void forget(Member member) {
        digests.toggle(member.fact());
        members.remove(member);
        if (member.address() >= 0 && member.name().equals(names.get(member.address()))) {
            names.set(member.address(), null);
        }
        forgotten.put(member.name(), member.fact());
    }

    /**
     * Addresses have other places from now on; {@code newPlaces} has -1 for those that are gone.
     */
    void move(int[] newPlaces, int addresses) {
        AddressTable before = names;
        names = new AddressTable(addresses);
        for (int i = 0; i < before.length(); i++) {
            if (newPlaces[i] >= 0) {
                names.set(newPlaces[i], before.get(i));
            }
        }
        members.all().filter(m -> m.address() >= 0).forEach(m -> move(m, newPlaces[m.address()]));
    }

    private void move(Member member, int newPlace) {
        Member moved = member.withAddress(newPlace);
        members.put(moved);
        if (newPlace < 0 && !moved.status().present()) {
            forget(moved);
        }
    }
}
