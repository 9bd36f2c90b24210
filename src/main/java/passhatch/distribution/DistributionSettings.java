package passhatch.distribution;

import java.util.Collection;
import java.util.List;

/**
 * Settings of a participant.
 *
 * @param name of this participant, for operators
 * @param role of this participant
 * @param epoch of the log, 1 or more; raised when a new log is initialized
 * @param self its own address as the other replicas name it; used only for replicas
 * @param replicas addresses of all replicas; an odd number
 * @param sources addresses to follow, the preferred first; empty for a replica
 * @param services whose keys a subscriber keeps; ignored for other roles
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
        /** Keeps the log, can lead, and serves followers. */
        REPLICA,
        /** Follows a replica for all keys and serves the followers of its zone. */
        RELAY,
        /** Follows a source for the keys of some services. */
        SUBSCRIBER
    }

    /** Copies the collections. */
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
