package passhatch.distribution;

import java.util.Collection;
import java.util.List;

/**
 * What a participant is told at its start.
 *
 * @param name of this participant, for operators
 * @param role what it does
 * @param epoch of the log, 1 or more; raised when the log is founded anew
 * @param self its own address as the other replicas name it; used of replicas only
 * @param replicas addresses of all replicas; an odd number
 * @param sources addresses to follow, the preferred first; empty for a replica
 * @param services whose keys a subscriber wants; ignored for other roles
 */
public record DistributionSettings(
        String name,
        Role role,
        long epoch,
        String self,
        List<String> replicas,
        List<String> sources,
        Collection<String> services) {

    /** What a participant does. */
    public enum Role {
        /** Keeps the log, may lead, and serves followers. */
        REPLICA,
        /** Follows a replica with all keys and serves the followers of its zone. */
        RELAY,
        /** Follows with the keys of some services. */
        SUBSCRIBER
    }

    /** Settings with their lists copied. */
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
