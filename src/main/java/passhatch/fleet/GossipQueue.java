package passhatch.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Updates to gossip, each a bounded number of times: those sent least often first, and among equals
 * the most recent (SWIM: Das, Gupta, Motivala, 2002, 4.1).
 */
final class GossipQueue {

    /** After this many updates that do not fit, the datagram counts as full. */
    private static final int MAX_SKIPPED_UPDATES = 4;

    private static final Comparator<Item> SEND_ORDER =
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
    private final TreeSet<Item> items = new TreeSet<>(SEND_ORDER);
    private long nextSequence;

    int size() {
        return items.size();
    }

    /** Removes all updates, as all members know them already. */
    void clear() {
        byMember.clear();
        items.clear();
    }

    /** Queues an update in place of an earlier one about the same member. */
    void add(MemberUpdate update) {
        Item item = new Item(update, nextSequence++);
        Item previous = byMember.put(update.name(), item);
        if (previous != null) {
            items.remove(previous);
        }
        items.add(item);
    }

    /**
     * Takes updates for one datagram.
     *
     * @param maxBytes bytes that they may take
     * @param maxSends how often an update is sent before it is removed
     */
    List<MemberUpdate> take(int maxBytes, int maxSends) {
        List<Item> taken = new ArrayList<>();
        int remainingBytes = maxBytes;
        int misses = 0;
        for (Item item : items) {
            int size = Codec.encodedSize(item.update);
            if (size <= remainingBytes) {
                remainingBytes -= size;
                taken.add(item);
            } else if (++misses == MAX_SKIPPED_UPDATES) {
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
