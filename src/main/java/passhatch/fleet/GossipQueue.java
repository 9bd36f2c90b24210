package passhatch.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * News that others should hear, each a bounded number of times: what was told least often goes
 * first, and of those the latest (SWIM: Das, Gupta, Motivala, 2002, 4.1).
 */
final class GossipQueue {

    /** After so many that do not fit, a datagram is full enough. */
    private static final int MOST_MISSES = 4;

    private static final Comparator<Item> ORDER =
            Comparator.comparingInt((Item i) -> i.told)
                    .thenComparing(Comparator.comparingLong((Item i) -> i.order).reversed());

    private static final class Item {
        private final Fact fact;
        private final long order;
        private int told;

        Item(Fact fact, long order) {
            this.fact = fact;
            this.order = order;
        }
    }

    private final Map<String, Item> byMember = new HashMap<>();
    private final TreeSet<Item> items = new TreeSet<>(ORDER);
    private long next;

    int size() {
        return items.size();
    }

    /** All that there is to tell is known already. */
    void clear() {
        byMember.clear();
        items.clear();
    }

    /** Tells this from now on, instead of what was told of the member before. */
    void add(Fact fact) {
        Item item = new Item(fact, next++);
        Item before = byMember.put(fact.name(), item);
        if (before != null) {
            items.remove(before);
        }
        items.add(item);
    }

    /**
     * Takes facts for one datagram.
     *
     * @param room bytes that they may take
     * @param times that a fact is told before it is news no more
     */
    List<Fact> take(int room, int times) {
        List<Item> taken = new ArrayList<>();
        int left = room;
        int misses = 0;
        for (Item item : items) {
            int size = Codec.size(item.fact);
            if (size <= left) {
                left -= size;
                taken.add(item);
            } else if (++misses == MOST_MISSES) {
                break;
            }
        }
        List<Fact> facts = new ArrayList<>(taken.size());
        for (Item item : taken) {
            items.remove(item);
            item.told++;
            if (item.told < times) {
                items.add(item);
            } else {
                byMember.remove(item.fact.name());
            }
            facts.add(item.fact);
        }
        return facts;
    }
}
