package passhatch.lab.distribution;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BiPredicate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A simulated network. For each datagram, it decides if the datagram is lost or duplicated and how
 * long it is in transit.
 */
public final class Network {

    private static final long SAME_ZONE_LATENCY_US = 500;
    private static final long SAME_REGION_LATENCY_US = 2_000;
    private static final long MIN_CROSS_REGION_LATENCY_US = 20_000;
    private static final long MAX_CROSS_REGION_LATENCY_US = 150_000;
    private static final double JITTER_FRACTION = 0.2;
    private static final long MAX_EXTRA_DELAY_US = 1_500_000;

    /**
     * Random loss, duplication and delay of datagrams.
     *
     * @param loss fraction of datagrams that are lost
     * @param duplication fraction of datagrams that arrive twice
     * @param late fraction of datagrams that are delayed further, so that datagrams sent later may
     *     overtake them
     */
    public record Quality(double loss, double duplication, double late) {}

    private final UniformRandomProvider random;
    private final long[][] latencyUs;
    private final Set<BiPredicate<Node, Node>> blocked = new HashSet<>();
    private Quality quality;

    /** Creates a network. The latency between each pair of regions is drawn once, at random. */
    public Network(UniformRandomProvider random, int regions, Quality quality) {
        this.random = random;
        this.quality = quality;
        latencyUs = new long[regions][regions];
        for (int a = 0; a < regions; a++) {
            latencyUs[a][a] = SAME_REGION_LATENCY_US;
            for (int b = 0; b < a; b++) {
                long drawn =
                        random.nextLong(
                                MIN_CROSS_REGION_LATENCY_US, MAX_CROSS_REGION_LATENCY_US + 1);
                latencyUs[a][b] = drawn;
                latencyUs[b][a] = drawn;
            }
        }
    }

    /** Sets the loss, duplication and delay of datagrams from now on. */
    public void setQuality(Quality quality) {
        this.quality = quality;
    }

    /**
     * Drops all datagrams whose sender and receiver satisfy the predicate, until {@link #unblock}
     * is called with the same predicate.
     */
    public void block(BiPredicate<Node, Node> fromTo) {
        blocked.add(fromTo);
    }

    /** Ends the {@link #block} with the given predicate. */
    public void unblock(BiPredicate<Node, Node> fromTo) {
        blocked.remove(fromTo);
    }

    /** Ends all blocks. */
    public void unblockAll() {
        blocked.clear();
    }

    /**
     * Returns true if no block applies to datagrams from one node to another. They may still be
     * lost at random.
     */
    public boolean connects(Node from, Node to) {
        for (BiPredicate<Node, Node> block : blocked) {
            if (block.test(from, to)) {
                return false;
            }
        }
        return true;
    }

    boolean loses(Node from, Node to) {
        return !connects(from, to) || random.nextDouble() < quality.loss();
    }

    boolean duplicates() {
        return quality.duplication() > 0 && random.nextDouble() < quality.duplication();
    }

    long delayUs(Node from, Node to) {
        long base =
                from.location().zone() == to.location().zone()
                        ? SAME_ZONE_LATENCY_US
                        : latencyUs[from.location().region()][to.location().region()];
        long delay = base + (long) (base * JITTER_FRACTION * random.nextDouble());
        if (quality.late() > 0 && random.nextDouble() < quality.late()) {
            delay += random.nextLong(1, MAX_EXTRA_DELAY_US);
        }
        return delay;
    }
}
