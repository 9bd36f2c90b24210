package passhatch.lab.distribution;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Simulates the lease of the duty {@code changes}, whose holder leads the distribution of
 * configuration changes. The lease is granted to one replica. If that replica is down or makes no
 * progress, the lease is granted to another one. Terms strictly increase. {@link
 * #grantWithoutRevoking} simulates a faulty lease: the previous holder is not notified.
 */
public final class SimulatedLease {

    private static final long CHECK_INTERVAL_US = 200_000;

    /** The lease duration in microseconds, unless {@link #setLeaseUs} sets another one. */
    public static final long DEFAULT_LEASE_US = 4_000_000;

    private final Simulation simulation;
    private final List<Node> replicas;
    private final UniformRandomProvider random;
    private Node holder;
    private long leaseUs = DEFAULT_LEASE_US;
    private long term;
    private long stalledSinceUs = Long.MAX_VALUE;

    /**
     * Creates a lease that one of the given replicas can hold. The term of each grant is greater
     * than {@code term}.
     */
    public SimulatedLease(
            Simulation simulation, List<Node> replicas, UniformRandomProvider random, long term) {
        this.simulation = simulation;
        this.replicas = List.copyOf(replicas);
        this.random = random;
        this.term = term;
        simulation.setStepDownListener(this::steppedDown);
    }

    /** Grants the first lease and starts checking its holder at intervals. */
    public void start() {
        checkHolder();
    }

    /** Sets the lease duration from now on, in microseconds. */
    public void setLeaseUs(long durationUs) {
        leaseUs = durationUs;
    }

    /** Returns the holder of the lease, or null if there is none. */
    public Node holder() {
        return holder;
    }

    /**
     * Grants the lease to a replica in the next term, although another replica may still hold it.
     */
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
        simulation.scheduleAfter(CHECK_INTERVAL_US, this::checkHolder);
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
                && holder.participant().stateAgeUs(nowUs) < leaseUs;
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
