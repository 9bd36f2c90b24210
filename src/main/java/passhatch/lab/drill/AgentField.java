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

/** Agents as real processes, with the relay between them on which datagrams meet their faults. */
final class AgentField implements Closeable {

    private static final long PATIENCE_MS = 5_000;

    private final List<AgentChild> agents = new ArrayList<>();
    private final List<String> names;
    private final UdpRelay relay;

    /** Agents of these names, not started yet; two may have the same. */
    AgentField(Path jar, Path folder, List<String> names, long seed) throws IOException {
        this(jar, folder, names, seed, "");
    }

    /** The same with further parts of their configuration. */
    AgentField(Path jar, Path folder, List<String> names, long seed, String more)
            throws IOException {
        this(jar, folder, names, seed, number -> more);
    }

    /** The same with further parts that each agent has for itself, by its number. */
    AgentField(Path jar, Path folder, List<String> names, long seed, IntFunction<String> more)
            throws IOException {
        this.names = names;
        this.relay = new UdpRelay(names.size(), new Seeds(seed).stream("relay"));
        for (int i = 0; i < names.size(); i++) {
            agents.add(new AgentChild(jar, folder.resolve("agent-" + i), names.get(i)));
            relay.setListenAddress(i, agents.get(i).listen());
        }
        for (int i = 0; i < names.size(); i++) {
            agents.get(i).configure(relay.peersOf(i), relay.peersOf(i).get(i), more.apply(i));
        }
    }

    AgentChild agent(int number) {
        return agents.get(number);
    }

    UdpRelay relay() {
        return relay;
    }

    /** Takes a member's address out of the configuration of one agent. */
    void configureWithout(int number, int gone) throws IOException {
        List<InetSocketAddress> peers = new ArrayList<>(relay.peersOf(number));
        InetSocketAddress own = peers.get(number);
        peers.remove(gone);
        agents.get(number).configure(peers, own, "");
    }

    /** Whether each of these agents has just this view. */
    boolean allSee(List<Integer> observers, Map<String, String> view) {
        return observers.stream().allMatch(o -> agents.get(o).view().equals(view));
    }

    /** All names with one status, and some with another. */
    Map<String, String> view(String status, List<Integer> others, String theirs) {
        Map<String, String> view = new TreeMap<>();
        names.forEach(n -> view.put(n, status));
        others.forEach(o -> view.put(names.get(o), theirs));
        return view;
    }

    @Override
    public void close() throws IOException {
        agents.parallelStream().forEach(a -> a.child().end(PATIENCE_MS));
        relay.close();
    }
}
