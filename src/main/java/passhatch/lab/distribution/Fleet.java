package passhatch.lab.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.distribution.ConfigKey;
import passhatch.distribution.DiskRecord;
import passhatch.distribution.DistributionSettings;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.distribution.LogEntry;
import passhatch.lab.Seeds;

/** Builds the nodes of a fleet and the initial contents of their disks. */
public final class Fleet {

    /** The epoch in which a simulation starts. */
    public static final long INITIAL_EPOCH = 1;

    /** The term of the entries that are on the disks at the start. */
    public static final long INITIAL_TERM = 1;

    private static final List<String> SETTING_NAMES =
            List.of("deadline_ms", "max_attempts", "calls_per_second", "max_connections");

    /**
     * The size and structure of a fleet.
     *
     * @param replicas number of replicas
     * @param regions number of regions; the replicas are in different regions if there are enough
     *     regions
     * @param zones total number of zones in all regions; each zone has one relay
     * @param subscribers total number of subscribers in all zones
     * @param services number of services
     * @param settingsPerService number of keys of each service, 1 to 4
     * @param servicesPerSubscriber number of services that each subscriber subscribes to
     */
    public record Shape(
            int replicas,
            int regions,
            int zones,
            int subscribers,
            int services,
            int settingsPerService,
            int servicesPerSubscriber) {}

    private final Shape shape;
    private final UniformRandomProvider random;
    private final List<String> replicaNames;
    private final List<LogEntry> initialEntries = new ArrayList<>();

    /**
     * Creates a fleet in which each key has been set once. The subscriptions are drawn at random
     * from a seed.
     */
    public Fleet(Shape shape, long seed) {
        this.shape = shape;
        random = new Seeds(seed).stream("subscriptions");
        replicaNames = IntStream.range(0, shape.replicas()).mapToObj(i -> "replica-" + i).toList();
        for (String key : keys()) {
            initialEntries.add(new LogEntry(initialEntries.size() + 1, INITIAL_TERM, key, "1"));
        }
    }

    /** Returns the size and structure of this fleet. */
    public Shape shape() {
        return shape;
    }

    /** Returns all keys: those of each service, and the one that applies to the whole fleet. */
    public Set<String> keys() {
        Set<String> keys = new TreeSet<>();
        for (int service = 0; service < shape.services(); service++) {
            for (String setting : SETTING_NAMES.subList(0, shape.settingsPerService())) {
                keys.add("service/" + serviceName(service) + "/" + setting);
            }
        }
        keys.add("fleet/deadline_ms");
        return keys;
    }

    /** Returns the entries that are committed at the start. */
    public List<LogEntry> initialEntries() {
        return initialEntries;
    }

    /** Adds all nodes to a simulation. The nodes do not run yet. */
    public void addNodesTo(Simulation simulation) {
        for (int i = 0; i < shape.replicas(); i++) {
            // Zones are assigned to the regions in turn, so the first ones are in different
            // regions.
            addNode(
                    simulation,
                    Role.REPLICA,
                    replicaNames.get(i),
                    i % shape.zones(),
                    List.of(),
                    Set.of());
        }
        for (int zone = 0; zone < shape.zones(); zone++) {
            addNode(
                    simulation,
                    Role.RELAY,
                    relayName(zone),
                    zone,
                    replicasForRelay(zone),
                    Set.of());
        }
        for (int i = 0; i < shape.subscribers(); i++) {
            int zone = i % shape.zones();
            String replica = replicaNames.get(random.nextInt(replicaNames.size()));
            List<String> sources =
                    List.of(relayName(zone), relayName(neighbourZone(zone)), replica);
            addNode(simulation, Role.SUBSCRIBER, "subscriber-" + i, zone, sources, drawServices());
        }
    }

    private void addNode(
            Simulation simulation,
            Role role,
            String name,
            int zone,
            List<String> sources,
            Collection<String> services) {
        Location location = new Location(zone % shape.regions(), zone);
        DistributionSettings settings =
                new DistributionSettings(
                        name, role, INITIAL_EPOCH, name, replicaNames, sources, services);
        simulation.add(location, settings);
    }

    /**
     * Returns the names of all replicas in the order in which a relay of a zone prefers them: the
     * first is in the zone's region if any replica is there.
     */
    private List<String> replicasForRelay(int zone) {
        List<String> ordered = new ArrayList<>();
        for (int i = 0; i < replicaNames.size(); i++) {
            ordered.add(replicaNames.get((zone % shape.regions() + i) % replicaNames.size()));
        }
        return ordered;
    }

    private static String relayName(int zone) {
        return "relay-" + zone;
    }

    /**
     * Returns another zone of the same region, or the zone itself if its region has no other zone.
     */
    private int neighbourZone(int zone) {
        int next = zone + shape.regions();
        return next < shape.zones() ? next : zone % shape.regions();
    }

    private Set<String> drawServices() {
        Set<String> services = new TreeSet<>();
        while (services.size() < Math.min(shape.servicesPerSubscriber(), shape.services())) {
            services.add(serviceName(random.nextInt(shape.services())));
        }
        return services;
    }

    private static String serviceName(int service) {
        return "service-" + service;
    }

    /**
     * Returns the initial records on a node's disk, with the initial entries of all keys that the
     * node should hold.
     */
    public List<DiskRecord> initialDisk(Node node) {
        List<DiskRecord> records = new ArrayList<>();
        if (node.role() == Role.REPLICA) {
            records.add(new DiskRecord.Initialized(INITIAL_EPOCH));
            records.add(new DiskRecord.Promised(INITIAL_EPOCH, INITIAL_TERM));
        }
        records.add(new DiskRecord.Reset(INITIAL_EPOCH, initialEntries.size(), INITIAL_TERM, 0));
        for (LogEntry entry : initialEntries) {
            if (node.role() != Role.SUBSCRIBER || subscribesTo(node, entry.key())) {
                records.add(new DiskRecord.Content(List.of(entry)));
            }
        }
        return records;
    }

    /**
     * Returns whether a subscriber subscribes to a key. Every subscriber subscribes to the keys
     * that apply to the whole fleet.
     */
    public static boolean subscribesTo(Node subscriber, String key) {
        String service = ConfigKey.serviceOf(key);
        return service == null || subscriber.settings().services().contains(service);
    }
}
