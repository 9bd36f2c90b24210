package passhatch.lab.distribution;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Stands in for the lease of the duty {@code changes}: has one replica lead, and another one if it
 * is down or does not get on. Terms strictly grow. A faulty lease can be had by {@link
 * #grantWithoutRevoking}: the former holder is not told.
 */
public final class SimulatedLease {

    private static final long CHECK_INTERVAL_US = 200_000;

    /** How long a lease lasts unless {@link #setLeaseUs} says otherwise. */
    public static final long DEFAULT_LEASE_US = 4_000_000;

    private final Simulation simulation;
    private final List<Node> replicas;
    private final UniformRandomProvider random;
    private Node holder;
    private long leaseUs = DEFAULT_LEASE_US;
    private long term;
    private long stalledSinceUs = Long.MAX_VALUE;

    /** Leases among replicas, the first granted at once. */
    public SimulatedLease(
            Simulation simulation, List<Node> replicas, UniformRandomProvider random, long term) {
        this.simulation = simulation;
        this.replicas = List.copyOf(replicas);
        this.random = random;
        this.term = term;
        simulation.setStepDownListener(this::steppedDown);
    }

    /** Starts to grant leases. */
    public void start() {
        checkHolder();
    }

    /** Leases last this long from now on. */
    public void setLeaseUs(long durationUs) {
        leaseUs = durationUs;
    }

    /** Who holds the lease; null for nobody. */
    public Node holder() {
        return holder;
    }

    /** Has a replica lead though another one may hold the lease. */
    public void grantWithoutRevoking(Node replica) {
        long newTerm = ++term;
        simulation.observer().leaseGranted(replica);
        replica.invoke(p -> p.leaseGranted(simulation.nowUs(), newTerm));
    }

    private void steppedDown(Node node, long endedTerm) {
        if (node == holder && endedTerm == term) {
            holder = null;
            node.invoke(p -> p.leaseLost());
        }
    }

    private void checkHolder() {
        simulation.after(CHECK_INTERVAL_US, this::checkHolder);
        if (holder == null) {
            grant();
        } else if (isMakingProgress()) {
            stalledSinceUs = Long.MAX_VALUE;
        } else if (stalledSinceUs == Long.MAX_VALUE) {
            stalledSinceUs = simulation.nowUs();
        } else if (simulation.nowUs() - stalledSinceUs > leaseUs) {
            revoke();
        }
    }

    private boolean isMakingProgress() {
        long nowUs = simulation.nowUs();
        return holder.isUp()
                && !holder.isPaused()
                && holder.participant().isLeading()
                && holder.participant().ageUs(nowUs) < leaseUs;
    }

    private void revoke() {
        if (!holder.isPaused()) {
            holder.invoke(p -> p.leaseLost());
        }
        holder = null;
    }

    private void grant() {
        List<Node> candidates =
                replicas.stream().filter(node -> node.isUp() && !node.isPaused()).toList();
        if (candidates.isEmpty()) {
            return;
        }
        holder = candidates.get(random.nextInt(candidates.size()));
        stalledSinceUs = Long.MAX_VALUE;
        grantWithoutRevoking(holder);
    }
}
