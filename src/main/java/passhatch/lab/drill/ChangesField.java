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
final class ChangesField implements Closeable {

    static final int REPLICAS = 3;
    static final int RELAYS = 2;
    static final long LEASE_MS = 1_000;

    /** The services that subscribers want in turn. */
    static final List<String> SERVICES = List.of("claims", "rates");

    private static final long POLL_MS = 20;
    private static final long CURRENT_MS = 2_000;

    private final int size;
    private final AgentField field;
    private final Path folder;
    private final UdpRelay relay;
    private final List<InetSocketAddress> listen = new ArrayList<>();

    /** Agents that are not started yet. */
    ChangesField(Path jar, Path folder, int subscribers, long seed) throws IOException {
        this.folder = folder;
        size = REPLICAS + RELAYS + subscribers;
        relay = new UdpRelay(size, new Seeds(seed).stream("changes"));
        for (int i = 0; i < size; i++) {
            listen.add(Local.freeUdpPort());
            relay.setListenAddress(i, listen.get(i));
        }
        List<String> names = IntStream.range(0, size).mapToObj(i -> "m" + i).toList();
        field = new AgentField(jar, folder, names, seed, this::configuration);
    }

    private String configuration(int number) {
        String changes =
                """
                [changes]
                listen = "%s"
                """
                        .formatted(Local.text(listen.get(number)));
        if (isReplica(number)) {
            return """
            [duties]
            voters = ["m0", "m1", "m2"]
            lease = "%dms"
            %srole = "replica"
            replicas = [%s]
            """
                    .formatted(LEASE_MS, changes, addresses(number, List.of(0, 1, 2)));
        }
        if (isRelay(number)) {
            int first = number % REPLICAS;
            List<Integer> sources = List.of(first, (first + 1) % REPLICAS, (first + 2) % REPLICAS);
            return "%srole = \"relay\"\nsources = [%s]\n"
                    .formatted(changes, addresses(number, sources));
        }
        int first = number % RELAYS;
        List<Integer> sources = List.of(REPLICAS + first, REPLICAS + (first + 1) % RELAYS);
        return """
        %srole = "subscriber"
        services = ["%s"]
        publish = "%s"
        sources = [%s]
        """
                .formatted(changes, service(number), published(number), addresses(number, sources));
    }

    /** Addresses of others as one agent reaches them; its own as it is. */
    private String addresses(int of, List<Integer> numbers) {
        return numbers.stream()
                .map(n -> '"' + Local.text(n == of ? listen.get(n) : peer(of, n)) + '"')
                .collect(Collectors.joining(", "));
    }

    private InetSocketAddress peer(int of, int to) {
        try {
            return relay.peersOf(of).get(to);
        } catch (IOException closed) {
            throw new IllegalStateException(closed);
        }
    }

    static boolean isReplica(int number) {
        return number < REPLICAS;
    }

    static boolean isRelay(int number) {
        return number >= REPLICAS && number < REPLICAS + RELAYS;
    }

    /** The service that a subscriber wants. */
    static String service(int subscriber) {
        return SERVICES.get(subscriber % SERVICES.size());
    }

    List<Integer> subscribers() {
        return IntStream.range(REPLICAS + RELAYS, size).boxed().toList();
    }

    List<Integer> all() {
        return IntStream.range(0, size).boxed().toList();
    }

    /** The file in which a subscriber publishes the values in force. */
    Path published(int number) {
        return folder.resolve("values-" + number + ".json");
    }

    AgentChild agent(int number) {
        return field.agent(number);
    }

    /** The way of datagrams on changes. */
    UdpRelay changesRelay() {
        return relay;
    }

    /** The way of datagrams on membership and duties. */
    UdpRelay fleetRelay() {
        return field.relay();
    }

    /** Starts all agents and founds duties and log. */
    void start(long patienceMs) throws IOException, InterruptedException {
        for (int i = 0; i < size; i++) {
            agent(i).child().start();
        }
        for (int i = 0; i < REPLICAS; i++) {
            AgentChild replica = agent(i);
            await(
                    () -> isFounded(replica),
                    patienceMs,
                    () -> "not founded: " + replica.child().logEnd());
        }
        await(() -> leader() >= 0, patienceMs, "nobody leads");
        await(() -> all().stream().allMatch(this::isCurrent), patienceMs, "not all are current");
    }

    /** Whether an agent knows that its state was the newest one a moment ago. */
    private boolean isCurrent(int number) {
        long ageMs = agent(number).answer("changes").map(a -> a.get("age_ms").asLong()).orElse(-1L);
        return ageMs >= 0 && ageMs <= CURRENT_MS;
    }

    /** Founds both; an answer that came too late is made up for by the next call. */
    private static boolean isFounded(AgentChild replica) {
        replica.ask("found");
        replica.ask("changes-found");
        return replica.ask("duties").contains("\"votes\":true")
                && replica.ask("changes").contains("\"founded\":true");
    }

    /** The replica that leads; -1 where none does. */
    int leader() {
        return IntStream.range(0, REPLICAS).filter(this::leads).findFirst().orElse(-1);
    }

    private boolean leads(int number) {
        return agent(number).answer("changes").map(a -> a.get("leading").asBoolean()).orElse(false);
    }

    /** The version in force at an agent; -1 where it does not answer. */
    long version(int number) {
        return agent(number).answer("changes").map(a -> a.get("version").asLong()).orElse(-1L);
    }

    /** The values in force at an agent, with their versions, as VALUE@VERSION by key. */
    Map<String, String> values(int number) {
        Map<String, String> values = new TreeMap<>();
        agent(number)
                .answer("change-get")
                .ifPresent(
                        answer ->
                                answer.properties()
                                        .forEach(
                                                field ->
                                                        values.put(
                                                                field.getKey(),
                                                                text(field.getValue()))));
        return values;
    }

    private static String text(JsonNode value) {
        return value.get("value").textValue() + "@" + value.get("version").asLong();
    }

    /** Whether an agent has this value in force. */
    boolean has(int number, String key, String value) {
        return agent(number)
                .answer("change-get " + key)
                .map(answer -> answer.path(key).path("value").asText().equals(value))
                .orElse(false);
    }

    /** Waits until a condition holds. */
    static void await(BooleanSupplier holds, long mostMs, String otherwise)
            throws InterruptedException {
        await(holds, mostMs, () -> otherwise);
    }

    private static void await(BooleanSupplier holds, long mostMs, Supplier<String> otherwise)
            throws InterruptedException {
        long end = System.nanoTime() + mostMs * 1_000_000;
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError(otherwise.get() + " in " + mostMs + " ms");
            }
            Thread.sleep(POLL_MS);
        }
    }

    @Override
    public void close() throws IOException {
        field.close();
        relay.close();
    }
}
