package passhatch.lab.drill;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import passhatch.lab.Seeds;
import passhatch.lab.standin.UdpRelay;

/**
 * Agents that run as real processes, and the relay that forwards their datagrams and injects
 * faults.
 */
final class AgentTestbed implements Closeable {

    private static final long SHUTDOWN_TIMEOUT_MS = 5_000;

    private final List<AgentProcess> agents = new ArrayList<>();
    private final List<String> names;
    private final UdpRelay relay;

    /**
     * Creates agents with these names without starting them. Several agents may have the same name.
     */
    AgentTestbed(Path jar, Path folder, List<String> names, long seed) throws IOException {
        this(jar, folder, names, seed, "");
    }

    /**
     * Creates agents without starting them. The configurations of all agents have the same
     * additional sections.
     *
     * @param extraConfig text of the additional sections
     */
    AgentTestbed(Path jar, Path folder, List<String> names, long seed, String extraConfig)
            throws IOException {
        this(jar, folder, names, seed, number -> extraConfig);
    }

    /**
     * Creates agents without starting them. The configuration of each agent has its own additional
     * sections.
     *
     * @param extraConfig returns the text of an agent's additional sections, given the index of the
     *     agent
     */
    AgentTestbed(
            Path jar, Path folder, List<String> names, long seed, IntFunction<String> extraConfig)
            throws IOException {
        this.names = names;
        this.relay = new UdpRelay(names.size(), new Seeds(seed).stream("relay"));
        for (int i = 0; i < names.size(); i++) {
            agents.add(new AgentProcess(jar, folder.resolve("agent-" + i), names.get(i)));
            relay.setListenAddress(i, agents.get(i).listenAddress());
        }
        for (int i = 0; i < names.size(); i++) {
            agents.get(i)
                    .configure(
                            relay.relayAddressesOf(i),
                            relay.relayAddressesOf(i).get(i),
                            extraConfig.apply(i));
        }
    }

    AgentProcess agent(int index) {
        return agents.get(index);
    }

    UdpRelay relay() {
        return relay;
    }

    /**
     * Writes the configuration of one agent again, without the address of one member.
     *
     * @param index index of the agent whose configuration is written
     * @param removed index of the member whose address is left out
     */
    void configureWithoutMember(int index, int removed) throws IOException {
        List<InetSocketAddress> peers = new ArrayList<>(relay.relayAddressesOf(index));
        InetSocketAddress own = peers.get(index);
        peers.remove(removed);
        agents.get(index).configure(peers, own, "");
    }

    /**
     * Returns whether each of these agents reports exactly the expected statuses.
     *
     * @param observers indices of the agents that are asked
     * @param expected expected status of each member, by the member's name
     */
    boolean allReport(List<Integer> observers, Map<String, String> expected) {
        return observers.stream().allMatch(o -> agents.get(o).memberStatuses().equals(expected));
    }

    /**
     * Returns a map in which all members have one status, except for some members that have another
     * status.
     *
     * @param status status of most members
     * @param others indices of the members with the other status
     * @return the status of each member, by the member's name
     */
    Map<String, String> expectedStatuses(String status, List<Integer> others, String otherStatus) {
        Map<String, String> statuses = new TreeMap<>();
        names.forEach(n -> statuses.put(n, status));
        others.forEach(o -> statuses.put(names.get(o), otherStatus));
        return statuses;
    }

    @Override
    public void close() throws IOException {
        agents.parallelStream().forEach(a -> a.process().terminate(SHUTDOWN_TIMEOUT_MS));
        relay.close();
    }
}
