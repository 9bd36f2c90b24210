package passhatch.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All members that this process knows of, itself among them, and at which address it finds them.
 */
final class View {

    /** Members at most; what is told of further ones is not taken. */
    static final int MOST_MEMBERS = 4096;

    private final Map<String, Member> members = new HashMap<>();
    private final List<List<Member>> leaves = new ArrayList<>();
    private final Set<Member> suspects = new LinkedHashSet<>();

    /** The last word on those that are shown no more, so that old news does not bring them back. */
    private final Map<String, Fact> forgotten =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Fact> eldest) {
                    return size() > MOST_MEMBERS;
                }
            };

    private final Digests digests = new Digests();
    private String[] names;
    private int present;

    View(int addresses) {
        names = new String[addresses];
        for (int i = 0; i < Digests.LEAVES; i++) {
            leaves.add(new ArrayList<>(1));
        }
    }

    Member get(String name) {
        return members.get(name);
    }

    Collection<Member> all() {
        return members.values();
    }

    List<Member> leaf(int leaf) {
        return leaves.get(leaf);
    }

    Collection<Member> suspects() {
        return suspects;
    }

    Digests digests() {
        return digests;
    }

    /** Members that are present, this one and suspects among them. */
    int present() {
        return present;
    }

    int addresses() {
        return names.length;
    }

    /** Who is at an address, or null. */
    Member at(int address) {
        return names[address] == null ? null : members.get(names[address]);
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
        members.put(fact.name(), member);
        leaves.get(Digests.leaf(fact.name())).add(member);
        forgotten.remove(fact.name());
        count(member, 1);
        hint(member);
        return member;
    }

    /** What is thought of a member is now this. */
    void change(Member member, Fact fact, long nowUs) {
        count(member, -1);
        member.fact(fact, nowUs);
        count(member, 1);
        hint(member);
    }

    private void count(Member member, int by) {
        digests.toggle(member.fact());
        if (member.status().present()) {
            present += by;
        }
        if (member.status() == Status.SUSPECT) {
            if (by > 0) {
                suspects.add(member);
            } else {
                suspects.remove(member);
            }
        }
    }

    /** Where a member was never heard itself, it is looked for where its own list has it. */
    private void hint(Member member) {
        int number = member.fact().number();
        if (member.address() < 0 && number >= 0 && number < names.length && names[number] == null) {
            place(member, number);
        }
    }

    /** A member was heard from an address. */
    void heard(Member member, int address) {
        if (member.address() != address || !member.name().equals(names[address])) {
            Member before = at(address);
            if (before != null && before != member && before.address() == address) {
                before.address(-1);
            }
            place(member, address);
        }
    }

    private void place(Member member, int address) {
        names[address] = member.name();
        member.address(address);
    }

    /** Shows a member no more, and keeps the last word on it. */
    void forget(Member member) {
        count(member, -1);
        members.remove(member.name());
        leaves.get(Digests.leaf(member.name())).remove(member);
        if (member.address() >= 0 && member.name().equals(names[member.address()])) {
            names[member.address()] = null;
        }
        forgotten.put(member.name(), member.fact());
    }

    /**
     * Addresses have other places from now on; {@code newPlaces} has -1 for those that are gone.
     */
    void move(int[] newPlaces, int addresses) {
        String[] before = names;
        names = new String[addresses];
        for (int i = 0; i < before.length; i++) {
            if (newPlaces[i] >= 0) {
                names[newPlaces[i]] = before[i];
            }
        }
        for (Member member : List.copyOf(members.values())) {
            if (member.address() >= 0) {
                member.address(newPlaces[member.address()]);
                if (member.address() < 0 && !member.status().present()) {
                    forget(member);
                }
            }
        }
    }
}
