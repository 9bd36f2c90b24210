package passhatch.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Makes datagrams, fills them up with news, and sends as many as the budget allows. */
final class Outbox {

    /** How often a fact is told: so many times the decimal logarithm of the fleet's size. */
    private static final double TIMES = 3;

    private static final int[] NO_DIGESTS = {};

    /** Most datagrams for one list of facts; what does not fit comes at another time. */
    private static final int MOST_PARTS = 3;

    private final Codec codec;
    private final Supplier<Fact> self;
    private final View view;
    private final FleetActions actions;
    private final GossipQueue news = new GossipQueue();
    private final ByteBudget budget;
    private final Map<Drop, Long> drops = new EnumMap<>(Drop.class);
    private long nowUs;
    private long sent;
    private long sentBytes;

    Outbox(FleetSettings settings, Supplier<Fact> self, View view, FleetActions actions) {
        this.codec = new Codec(settings.fleet());
        this.self = self;
        this.view = view;
        this.actions = actions;
        this.budget = new ByteBudget(settings.bytesPerSecond());
    }

    Codec codec() {
        return codec;
    }

    GossipQueue news() {
        return news;
    }

    void now(long us) {
        nowUs = us;
    }

    long sent() {
        return sent;
    }

    long sentBytes() {
        return sentBytes;
    }

    void dropped(Drop why) {
        drops.merge(why, 1L, Long::sum);
    }

    Map<Drop, Long> drops() {
        return drops;
    }

    /**
     * A datagram without which a member would be taken for failed; {@code first} stands before the
     * news.
     */
    void needed(int address, Message.Kind kind, int number, String target, List<Fact> first) {
        send(address, kind, number, target, 0, NO_DIGESTS, first, true);
    }

    /** News only. */
    void gossip(int address) {
        send(address, Message.Kind.GOSSIP, 0, "", 0, NO_DIGESTS, List.of(), false);
    }

    void sync(int address, int node, int[] digests) {
        send(address, Message.Kind.SYNC, 0, "", node, digests, List.of(), false);
    }

    /** What is at a leaf, in as many datagrams as it takes, within a bound. */
    void leaf(int address, Message.Kind kind, int node, List<Fact> facts) {
        int done = 0;
        for (int i = 0; i < MOST_PARTS && (i == 0 || done < facts.size()); i++) {
            done +=
                    send(
                            address,
                            kind,
                            0,
                            "",
                            node,
                            NO_DIGESTS,
                            facts.subList(done, facts.size()),
                            false);
        }
    }

    /** Returns how many of the first facts went with it. */
    private int send(
            int address,
            Message.Kind kind,
            int number,
            String target,
            int node,
            int[] digests,
            List<Fact> first,
            boolean needed) {
        if (!budget.take(nowUs, Frame.MOST_BYTES, needed)) {
            dropped(Drop.BUDGET);
            return 0;
        }
        List<Fact> facts = new ArrayList<>();
        Message message = new Message(kind, number, target, node, digests, self.get(), facts);
        int room = Frame.MOST_BYTES - codec.sizeWithoutFacts(message);
        int taken = 0;
        for (Fact fact : first) {
            int size = Codec.size(fact);
            if (size > room) {
                break;
            }
            room -= size;
            facts.add(fact);
            taken++;
        }
        facts.addAll(news.take(room, (int) Math.ceil(TIMES * Math.log10(view.present() + 1))));
        byte[] bytes = codec.encode(message);
        budget.giveBack(Frame.MOST_BYTES - bytes.length);
        sent++;
        sentBytes += bytes.length;
        actions.send(address, bytes);
        return taken;
    }
}
