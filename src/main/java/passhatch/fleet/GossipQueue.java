package passhatch.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A queue of updates to gossip. Each update is sent a limited number of times. The updates that
 * were sent least often come first; among updates that were sent equally often, the most recent
 * comes first (SWIM: Das, Gupta, Motivala, 2002, 4.1).
 */
final class GossipQueue {

    /** After this many updates that do not fit into a datagram, the datagram counts as full. */
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

    /** Removes all updates. Used when all members already know them. */
    void clear() {
        byMember.clear();
        items.clear();
    }

    /** Queues an update, which replaces any earlier one about the same member. */
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
     * @param maxBytes maximum total size of the updates, in bytes
     * @param maxSends number of times that an update is sent before it is removed from the queue
     */
    List<MemberUpdate> take(int maxBytes, int maxSends) {
        List<Item> taken = new ArrayList<>();
        int remainingBytes = maxBytes;
        int skipped = 0;
        for (Item item : items) {
            int size = Codec.encodedSize(item.update);
            if (size <= remainingBytes) {
                remainingBytes -= size;
                taken.add(item);
            } else if (++skipped == MAX_SKIPPED_UPDATES) {
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
