package passhatch.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Builds datagrams, fills them up with gossip, and sends as many as the rate limit allows. */
final class Outbox {

    /**
     * How many times an update is gossiped, as a multiple of the decimal logarithm of the fleet's
     * size.
     */
    private static final double RETRANSMIT_FACTOR = 3;

    private static final int[] NO_DIGESTS = {};

    /**
     * Maximum number of datagrams for one list of updates; the remaining updates are sent in later
     * rounds of anti-entropy.
     */
    private static final int MAX_DATAGRAMS_PER_LIST = 3;

    private final Codec codec;
    private final Supplier<MemberUpdate> ownUpdate;
    private final View view;
    private final FleetActions actions;
    private final GossipQueue gossipQueue = new GossipQueue();
    private final RateLimiter rateLimiter;
    private final Map<DropReason, Long> dropCounts = new EnumMap<>(DropReason.class);
    private long nowUs;
    private long sentDatagrams;
    private long sentBytes;

    Outbox(
            FleetSettings settings,
            Supplier<MemberUpdate> ownUpdate,
            View view,
            FleetActions actions) {
        this.codec = new Codec(settings.fleetName());
        this.ownUpdate = ownUpdate;
        this.view = view;
        this.actions = actions;
        this.rateLimiter = new RateLimiter(settings.bytesPerSecond());
    }

    Codec codec() {
        return codec;
    }

    GossipQueue gossipQueue() {
        return gossipQueue;
    }

    void setTime(long newUs) {
        nowUs = newUs;
    }

    long sentDatagrams() {
        return sentDatagrams;
    }

    long sentBytes() {
        return sentBytes;
    }

    void countDropped(DropReason reason) {
        dropCounts.merge(reason, 1L, Long::sum);
    }

    Map<DropReason, Long> dropCounts() {
        return dropCounts;
    }

    /**
     * Sends a datagram without which a member could appear failed. Such a datagram may use the
     * reserved part of the rate limit. The updates in {@code priorityUpdates} are placed before
     * gossip.
     */
    void sendEssential(
            int addressIndex,
            Message.Type type,
            int sequenceNumber,
            String target,
            List<MemberUpdate> priorityUpdates) {
        send(addressIndex, type, sequenceNumber, target, 0, NO_DIGESTS, priorityUpdates, true);
    }

    /** Sends a datagram that carries only gossip. */
    void sendGossip(int addressIndex) {
        send(addressIndex, Message.Type.GOSSIP, 0, "", 0, NO_DIGESTS, List.of(), false);
    }

    void sendSync(int addressIndex, int node, int[] digests) {
        send(addressIndex, Message.Type.SYNC, 0, "", node, digests, List.of(), false);
    }

    /**
     * Sends updates about the members in one leaf of the {@linkplain Digests digest tree}, in as
     * many datagrams as they need, up to {@link #MAX_DATAGRAMS_PER_LIST}. {@code node} is the
     * number of the leaf.
     */
    void sendLeaf(int addressIndex, Message.Type type, int node, List<MemberUpdate> updates) {
        int sentUpdates = 0;
        for (int i = 0;
                i < MAX_DATAGRAMS_PER_LIST && (i == 0 || sentUpdates < updates.size());
                i++) {
            sentUpdates +=
                    send(
                            addressIndex,
                            type,
                            0,
                            "",
                            node,
                            NO_DIGESTS,
                            updates.subList(sentUpdates, updates.size()),
                            false);
        }
    }

    /**
     * Sends a datagram with the updates in {@code priorityUpdates}, as far as they fit, and fills
     * it up with gossip. Returns how many updates of {@code priorityUpdates} were sent.
     */
    private int send(
            int addressIndex,
            Message.Type type,
            int sequenceNumber,
            String target,
            int node,
            int[] digests,
            List<MemberUpdate> priorityUpdates,
            boolean essential) {
        if (!rateLimiter.tryAcquire(nowUs, Frame.MAX_BYTES, essential)) {
            countDropped(DropReason.BUDGET);
            return 0;
        }
        List<MemberUpdate> updates = new ArrayList<>();
        Message message =
                new Message(type, sequenceNumber, target, node, digests, ownUpdate.get(), updates);
        int remainingBytes = Frame.MAX_BYTES - codec.sizeWithoutUpdates(message);
        int takenCount = 0;
        for (MemberUpdate update : priorityUpdates) {
            int size = Codec.encodedSize(update);
            if (size > remainingBytes) {
                break;
            }
            remainingBytes -= size;
            updates.add(update);
            takenCount++;
        }
        updates.addAll(
                gossipQueue.take(
                        remainingBytes,
                        (int) Math.ceil(RETRANSMIT_FACTOR * Math.log10(view.presentCount() + 1))));
        byte[] bytes = codec.encode(message);
        rateLimiter.refund(Frame.MAX_BYTES - bytes.length);
        sentDatagrams++;
        sentBytes += bytes.length;
        actions.send(addressIndex, bytes);
        return takenCount;
    }
}
