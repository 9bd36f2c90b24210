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
 * Three replicas, two relays and some subscribers as real agents, with one relay for their
 * membership and another for the distribution of changes. Each subscriber wants one of two
 * services, and follows one of the relays rather than the other.
 */
final class ChangesTestbed implements Closeable {

    static final int REPLICAS = 3;
    static final int RELAYS = 2;
    static final long LEASE_MS = 1_000;

    /** The services that subscribers want in turn. */
    static final List<String> SERVICES = List.of("claims", "rates");

    private static final long POLL_INTERVAL_MS = 20;
    private static final long MAX_CURRENT_AGE_MS = 2_000;

    private final int size;
    private final AgentTestbed agents;
    private final Path folder;
    private final UdpRelay changesRelay;
    private final List<InetSocketAddress> listenAddresses = new ArrayList<>();

    /** Agents that are not started yet. */
    ChangesTestbed(Path jar, Path folder, int subscribers, long seed) throws IOException {
        this.folder = folder;
        size = REPLICAS + RELAYS + subscribers;
        changesRelay = new UdpRelay(size, new Seeds(seed).stream("changes"));
        for (int i = 0; i < size; i++) {
            listenAddresses.add(LocalNetwork.freeUdpAddress());
            changesRelay.setListenAddress(i, listenAddresses.get(i));
        }
        List<String> names = IntStream.range(0, size).mapToObj(i -> "m" + i).toList();
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
                    .formatted(LEASE_MS, changes, addresses(index, List.of(0, 1, 2)));
        }
        if (isRelay(index)) {
            int first = index % REPLICAS;
            List<Integer> sources = List.of(first, (first + 1) % REPLICAS, (first + 2) % REPLICAS);
            return "%srole = \"relay\"\nsources = [%s]\n"
                    .formatted(changes, addresses(index, sources));
        }
        int first = index % RELAYS;
        List<Integer> sources = List.of(REPLICAS + first, REPLICAS + (first + 1) % RELAYS);
        return """
        %srole = "subscriber"
        services = ["%s"]
        publish = "%s"
        sources = [%s]
        """
                .formatted(changes, serviceOf(index), valuesFile(index), addresses(index, sources));
    }

    /** Addresses of others as one agent reaches them; its own as it is. */
    private String addresses(int observer, List<Integer> indices) {
        return indices.stream()
                .map(
                        n ->
                                '"'
                                        + LocalNetwork.format(
                                                n == observer
                                                        ? listenAddresses.get(n)
                                                        : peer(observer, n))
                                        + '"')
                .collect(Collectors.joining(", "));
    }

    private InetSocketAddress peer(int observer, int target) {
        try {
            return changesRelay.peersOf(observer).get(target);
        } catch (IOException closed) {
            throw new IllegalStateException(closed);
        }
    }

    static boolean isReplica(int index) {
        return index < REPLICAS;
    }

    static boolean isRelay(int index) {
        return index >= REPLICAS && index < REPLICAS + RELAYS;
    }

    /** The service that a subscriber wants. */
    static String serviceOf(int subscriber) {
        return SERVICES.get(subscriber % SERVICES.size());
    }

    List<Integer> subscribers() {
        return IntStream.range(REPLICAS + RELAYS, size).boxed().toList();
    }

    List<Integer> all() {
        return IntStream.range(0, size).boxed().toList();
    }

    /** The file in which a subscriber publishes the values in force. */
    Path valuesFile(int index) {
        return folder.resolve("values-" + index + ".json");
    }

    AgentProcess agent(int index) {
        return agents.agent(index);
    }

    /** The way of datagrams on changes. */
    UdpRelay changesRelay() {
        return changesRelay;
    }

    /** The way of datagrams on membership and duties. */
    UdpRelay fleetRelay() {
        return agents.relay();
    }

    /** Starts all agents and founds duties and log. */
    void start(long timeoutMs) throws IOException, InterruptedException {
        for (int i = 0; i < size; i++) {
            agent(i).process().start();
        }
        for (int i = 0; i < REPLICAS; i++) {
            AgentProcess replica = agent(i);
            await(
                    () -> tryInitialize(replica),
                    timeoutMs,
                    () -> "not founded: " + replica.process().logTail());
        }
        await(() -> leader() >= 0, timeoutMs, "nobody leads");
        await(() -> all().stream().allMatch(this::isCurrent), timeoutMs, "not all are current");
    }

    /** Whether an agent knows that its state was the newest one a moment ago. */
    private boolean isCurrent(int index) {
        long ageMs =
                agent(index).queryJson("changes").map(a -> a.get("age_ms").asLong()).orElse(-1L);
        return ageMs >= 0 && ageMs <= MAX_CURRENT_AGE_MS;
    }

    /** Founds both; an answer that came too late is made up for by the next call. */
    private static boolean tryInitialize(AgentProcess replica) {
        replica.ask("found");
        replica.ask("changes-found");
        return replica.ask("duties").contains("\"votes\":true")
                && replica.ask("changes").contains("\"founded\":true");
    }

    /** The replica that leads; -1 where none does. */
    int leader() {
        return IntStream.range(0, REPLICAS).filter(this::isLeading).findFirst().orElse(-1);
    }

    private boolean isLeading(int index) {
        return agent(index)
                .queryJson("changes")
                .map(a -> a.get("leading").asBoolean())
                .orElse(false);
    }

    /** The version in force at an agent; -1 where it does not answer. */
    long version(int index) {
        return agent(index).queryJson("changes").map(a -> a.get("version").asLong()).orElse(-1L);
    }

    /** The values in force at an agent, with their versions, as VALUE@VERSION by key. */
    Map<String, String> values(int index) {
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
                                                                withVersion(field.getValue()))));
        return values;
    }

    private static String withVersion(JsonNode value) {
        return value.get("value").textValue() + "@" + value.get("version").asLong();
    }

    /** Whether an agent has this value in force. */
    boolean hasValue(int index, String key, String value) {
        return agent(index)
                .queryJson("change-get " + key)
                .map(answer -> answer.path(key).path("value").asText().equals(value))
                .orElse(false);
    }

    /** Waits until a condition holds. */
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
