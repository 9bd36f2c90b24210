package passhatch.distribution;

import java.util.Collection;
import java.util.List;

/**
 * Settings of a participant in the distribution of configuration changes.
 *
 * @param name name of this participant, which is shown to operators
 * @param role role of this participant
 * @param epoch epoch of the log, 1 or more; an operator raises it to initialize a new log
 * @param self address of this participant, as listed in {@code replicas}; used only if this
 *     participant is a replica
 * @param replicas addresses of all replicas; their number is odd
 * @param sources addresses of the sources that this participant may follow, the preferred one
 *     first; empty for a replica
 * @param services names of the services whose keys a subscriber keeps; ignored for other roles
 */
public record DistributionSettings(
        String name,
        Role role,
        long epoch,
        String self,
        List<String> replicas,
        List<String> sources,
        Collection<String> services) {

    /** Role of a participant. */
    public enum Role {
        /** Stores the log, can become the leader, and serves followers. */
        REPLICA,
        /** Follows a replica, keeps all keys, and serves the followers of its zone. */
        RELAY,
        /** Follows a relay or replica and keeps the keys of some services. */
        SUBSCRIBER
    }

    /** Copies the collections, so that the settings are immutable. */
    public DistributionSettings {
        replicas = List.copyOf(replicas);
        sources = List.copyOf(sources);
        services = List.copyOf(services);
    }

    int majority() {
        return replicas.size() / 2 + 1;
    }

    List<String> otherReplicas() {
        return replicas.stream().filter(replica -> !replica.equals(self)).toList();
    }
}
