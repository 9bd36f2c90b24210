package passhatch.lab.distribution;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Stands in for the lease of the duty {@code changes}: has one replica lead, and another one if it
 * is down or does not get on. Terms strictly grow. A faulty lease can be had by {@link
 * #grantBesides}: the former holder is not told.
 */
public final class LeaseStandIn {

    private static final long TICK_US = 200_000;

    /** How long a lease lasts unless {@link #setLeaseUs} says otherwise. */
    public static final long DEFAULT_LEASE_US = 4_000_000;

    private final Simulation simulation;
    private final List<Node> replicas;
    private final UniformRandomProvider random;
    private Node holder;
    private long leaseUs = DEFAULT_LEASE_US;
    private long term;
    private long idleSinceUs = Long.MAX_VALUE;

    /** Leases among replicas, the first granted at once. */
    public LeaseStandIn(
            Simulation simulation, List<Node> replicas, UniformRandomProvider random, long term) {
        this.simulation = simulation;
        this.replicas = List.copyOf(replicas);
        this.random = random;
        this.term = term;
        simulation.setOnStepDown(this::steppedDown);
    }

    /** Starts to grant leases. */
    public void start() {
        tick();
    }

    /** Leases last this long from now on. */
    public void setLeaseUs(long us) {
        leaseUs = us;
    }

    /** Who holds the lease; null for nobody. */
    public Node holder() {
        return holder;
    }

    /** Has a replica lead though another one may hold the lease. */
    public void grantBesides(Node replica) {
        long granted = ++term;
        simulation.observer().granted(replica);
        replica.run(p -> p.leaseGranted(simulation.nowUs(), granted));
    }

    private void steppedDown(Node node, long ofTerm) {
        if (node == holder && ofTerm == term) {
            holder = null;
            node.run(p -> p.leaseLost());
        }
    }

    private void tick() {
        simulation.after(TICK_US, this::tick);
        if (holder == null) {
            grant();
        } else if (getsOn()) {
            idleSinceUs = Long.MAX_VALUE;
        } else if (idleSinceUs == Long.MAX_VALUE) {
            idleSinceUs = simulation.nowUs();
        } else if (simulation.nowUs() - idleSinceUs > leaseUs) {
            takeAway();
        }
    }

    private boolean getsOn() {
        long nowUs = simulation.nowUs();
        return holder.isUp()
                && !holder.isPaused()
                && holder.participant().isLeading()
                && holder.participant().ageUs(nowUs) < leaseUs;
    }

    private void takeAway() {
        if (!holder.isPaused()) {
            holder.run(p -> p.leaseLost());
        }
        holder = null;
    }

    private void grant() {
        List<Node> up = replicas.stream().filter(node -> node.isUp() && !node.isPaused()).toList();
        if (up.isEmpty()) {
            return;
        }
        holder = up.get(random.nextInt(up.size()));
        idleSinceUs = Long.MAX_VALUE;
        grantBesides(holder);
    }
}
