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
    private static final int MAX_MISSES = 4;

    private static final Comparator<Item> ORDER =
            Comparator.comparingInt((Item i) -> i.sendCount)
                    .thenComparing(Comparator.comparingLong((Item i) -> i.sequence).reversed());

    private static final class Item {
        private final MemberUpdate update;
        private final long sequence;
        private int sendCount;

        Item(MemberUpdate update, long sequence) {
            this.update = update;
            this.sequence = sequence;
        }
    }

    private final Map<String, Item> byMember = new HashMap<>();
    private final TreeSet<Item> items = new TreeSet<>(ORDER);
    private long nextSequence;

    int size() {
        return items.size();
    }

    /** All that there is to tell is known already. */
    void clear() {
        byMember.clear();
        items.clear();
    }

    /** Tells this from now on, instead of what was told of the member before. */
    void add(MemberUpdate update) {
        Item item = new Item(update, nextSequence++);
        Item previous = byMember.put(update.name(), item);
        if (previous != null) {
            items.remove(previous);
        }
        items.add(item);
    }

    /**
     * Takes facts for one datagram.
     *
     * @param maxBytes bytes that they may take
     * @param maxSends that a fact is told before it is news no more
     */
    List<MemberUpdate> take(int maxBytes, int maxSends) {
        List<Item> taken = new ArrayList<>();
        int remainingBytes = maxBytes;
        int misses = 0;
        for (Item item : items) {
            int size = Codec.size(item.update);
            if (size <= remainingBytes) {
                remainingBytes -= size;
                taken.add(item);
            } else if (++misses == MAX_MISSES) {
                break;
            }
        }
        List<MemberUpdate> updates = new ArrayList<>(taken.size());
        for (Item item : taken) {
            items.remove(item);
            item.sendCount++;
            if (item.sendCount < maxSends) {
                items.add(item);
            } else {
                byMember.remove(item.update.name());
            }
            updates.add(item.update);
        }
        return updates;
    }
}
