package passhatch.lab.drill;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import passhatch.lab.Seeds;
import passhatch.lab.standin.UdpRelay;

/**
 * Three replicas, two relays and some subscribers that run as real agents. One datagram relay
 * forwards the messages about membership and duties, and another one forwards the messages that
 * distribute changes. Each subscriber subscribes to one of two services and prefers one of the two
 * relays as its source.
 */
final class ChangesTestbed implements Closeable {

    static final int REPLICA_COUNT = 3;
    static final int RELAY_COUNT = 2;
    static final long LEASE_MS = 1_000;

    /** Names of the services. Each subscriber subscribes to one of them, alternating by index. */
    static final List<String> SERVICES = List.of("claims", "rates");

    private static final long POLL_INTERVAL_MS = 20;
    private static final long MAX_STATE_AGE_MS = 2_000;

    private final int agentCount;
    private final AgentTestbed agents;
    private final Path folder;
    private final UdpRelay changesRelay;
    private final List<InetSocketAddress> listenAddresses = new ArrayList<>();

    /** Creates the agents without starting them. */
    ChangesTestbed(Path jar, Path folder, int subscribers, long seed) throws IOException {
        this.folder = folder;
        agentCount = REPLICA_COUNT + RELAY_COUNT + subscribers;
        changesRelay = new UdpRelay(agentCount, new Seeds(seed).stream("changes"));
        for (int i = 0; i < agentCount; i++) {
            listenAddresses.add(LocalNetwork.reserveAddress());
            changesRelay.setListenAddress(i, listenAddresses.get(i));
        }
        List<String> names = IntStream.range(0, agentCount).mapToObj(i -> "m" + i).toList();
        agents = new AgentTestbed(jar, folder, names, seed, this::configuration);
    }

    private String configuration(int index) {
        String changes =
                """
                [changes]
                listen = "%s"
                """
                        .formatted(LocalNetwork.format(listenAddresses.get(index)));
        if (isReplica(index)) {
            return """
            [duties]
            voters = ["m0", "m1", "m2"]
            lease = "%dms"
            %srole = "replica"
            replicas = [%s]
            """
                    .formatted(LEASE_MS, changes, toTomlAddresses(index, List.of(0, 1, 2)));
        }
        if (isRelay(index)) {
            int first = index % REPLICA_COUNT;
            List<Integer> sources =
                    List.of(first, (first + 1) % REPLICA_COUNT, (first + 2) % REPLICA_COUNT);
            return "%srole = \"relay\"\nsources = [%s]\n"
                    .formatted(changes, toTomlAddresses(index, sources));
        }
        int first = index % RELAY_COUNT;
        List<Integer> sources =
                List.of(REPLICA_COUNT + first, REPLICA_COUNT + (first + 1) % RELAY_COUNT);
        return """
        %srole = "subscriber"
        services = ["%s"]
        publish = "%s"
        sources = [%s]
        """
                .formatted(
                        changes,
                        serviceOf(index),
                        valuesFile(index),
                        toTomlAddresses(index, sources));
    }

    /**
     * Returns the addresses that the agent {@code observer} uses to reach the agents with the given
     * indices, as the elements of a TOML array. These are addresses of the relay, except for the
     * observer itself, whose real address is used.
     */
    private String toTomlAddresses(int observer, List<Integer> indices) {
        return indices.stream()
                .map(
                        n ->
                                '"'
                                        + LocalNetwork.format(
                                                n == observer
                                                        ? listenAddresses.get(n)
                                                        : peerAddress(observer, n))
                                        + '"')
                .collect(Collectors.joining(", "));
    }

    private InetSocketAddress peerAddress(int observer, int target) {
        try {
            return changesRelay.relayAddressesOf(observer).get(target);
        } catch (IOException failed) {
            throw new IllegalStateException(failed);
        }
    }

    static boolean isReplica(int index) {
        return index < REPLICA_COUNT;
    }

    static boolean isRelay(int index) {
        return index >= REPLICA_COUNT && index < REPLICA_COUNT + RELAY_COUNT;
    }

    /** Returns the name of the service that a subscriber subscribes to. */
    static String serviceOf(int subscriber) {
        return SERVICES.get(subscriber % SERVICES.size());
    }

    List<Integer> subscribers() {
        return IntStream.range(REPLICA_COUNT + RELAY_COUNT, agentCount).boxed().toList();
    }

    List<Integer> allAgents() {
        return IntStream.range(0, agentCount).boxed().toList();
    }

    /** Returns the file to which a subscriber writes the values that it has applied. */
    Path valuesFile(int index) {
        return folder.resolve("values-" + index + ".json");
    }

    AgentProcess agent(int index) {
        return agents.agent(index);
    }

    /** Returns the datagram relay for the messages that distribute changes. */
    UdpRelay changesRelay() {
        return changesRelay;
    }

    /** Returns the datagram relay for the messages about membership and duties. */
    UdpRelay fleetRelay() {
        return agents.relay();
    }

    /**
     * Starts all agents, initializes the duties and the log of changes, and waits until the state
     * of each agent is current.
     */
    void start(long timeoutMs) throws IOException, InterruptedException {
        for (int i = 0; i < agentCount; i++) {
            agent(i).process().start();
        }
        for (int i = 0; i < REPLICA_COUNT; i++) {
            AgentProcess replica = agent(i);
            await(
                    () -> tryInitialize(replica),
                    timeoutMs,
                    () -> "not initialized: " + replica.process().logTail());
        }
        await(() -> leaderIndex() >= 0, timeoutMs, "no replica leads");
        await(
                () -> allAgents().stream().allMatch(this::isCurrent),
                timeoutMs,
                () -> "not all are current: " + describeAgentsThatAreNotCurrent());
    }

    private String describeAgentsThatAreNotCurrent() {
        return allAgents().stream()
                .filter(i -> !isCurrent(i))
                .map(i -> "m" + i + ": " + agent(i).process().logTail())
                .collect(Collectors.joining("\n"));
    }

    /**
     * Returns whether the state of an agent was last known to be current at most {@link
     * #MAX_STATE_AGE_MS} milliseconds ago.
     */
    private boolean isCurrent(int index) {
        long ageMs =
                agent(index).queryJson("changes").map(a -> a.get("age_ms").asLong()).orElse(-1L);
        return ageMs >= 0 && ageMs <= MAX_STATE_AGE_MS;
    }

    /**
     * Asks a replica to initialize the duties and the log of changes, and returns whether the
     * replica then reports both as initialized. If an answer is late, the caller can repeat the
     * call.
     */
    private static boolean tryInitialize(AgentProcess replica) {
        replica.ask("found");
        replica.ask("changes-found");
        return replica.ask("duties").contains("\"votes\":true")
                && replica.ask("changes").contains("\"founded\":true");
    }

    /** Returns the index of the leading replica, or -1 if none leads. */
    int leaderIndex() {
        return IntStream.range(0, REPLICA_COUNT).filter(this::isLeading).findFirst().orElse(-1);
    }

    private boolean isLeading(int index) {
        return agent(index)
                .queryJson("changes")
                .map(a -> a.get("leading").asBoolean())
                .orElse(false);
    }

    /**
     * Returns the version of the configuration that an agent has applied, or -1 if the agent does
     * not answer.
     */
    long versionInForce(int index) {
        return agent(index).queryJson("changes").map(a -> a.get("version").asLong()).orElse(-1L);
    }

    /**
     * Returns the values that an agent has applied, by key. Each value has the form VALUE@VERSION.
     */
    Map<String, String> valuesInForce(int index) {
        Map<String, String> values = new TreeMap<>();
        agent(index)
                .queryJson("change-get")
                .ifPresent(
                        answer ->
                                answer.properties()
                                        .forEach(
                                                field ->
                                                        values.put(
                                                                field.getKey(),
                                                                formatWithVersion(
                                                                        field.getValue()))));
        return values;
    }

    private static String formatWithVersion(JsonNode value) {
        return value.get("value").textValue() + "@" + value.get("version").asLong();
    }

    /** Returns whether an agent has applied this value for a key. */
    boolean hasValue(int index, String key, String value) {
        return agent(index)
                .queryJson("change-get " + key)
                .map(answer -> answer.path(key).path("value").asText().equals(value))
                .orElse(false);
    }

    /**
     * Waits until a condition holds.
     *
     * @throws AssertionError if the condition does not hold before the timeout
     */
    static void await(BooleanSupplier condition, long timeoutMs, String failureMessage)
            throws InterruptedException {
        await(condition, timeoutMs, () -> failureMessage);
    }

    private static void await(
            BooleanSupplier condition, long timeoutMs, Supplier<String> failureMessage)
            throws InterruptedException {
        long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNs) {
                throw new AssertionError(failureMessage.get() + " in " + timeoutMs + " ms");
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    @Override
    public void close() throws IOException {
        agents.close();
        changesRelay.close();
    }
}
