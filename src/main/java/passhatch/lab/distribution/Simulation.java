package passhatch.lab.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import passhatch.distribution.DistributionSettings;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.distribution.Message;
import passhatch.distribution.MessageCodec;
import passhatch.fleet.Frame;
import passhatch.lab.Seeds;
import passhatch.lab.sim.EventQueue;

/**
 * Simulates, in virtual time, the processes that distribute configuration changes. All random
 * values depend only on the seed, so a run can be repeated.
 */
public final class Simulation {

    private static final String FLEET_NAME = "simulated";

    /**
     * Interceptor that replaces or drops messages when they are sent, to simulate a faulty process.
     */
    public interface MessageInterceptor {
        /** Returns the message to send instead of the given one, or null to drop the message. */
        Message onSend(Node from, Node to, Message message);
    }

    /** How exactly datagrams and disks are simulated. */
    public enum Fidelity {
        /** Each datagram is encoded and decoded; disks keep their records. */
        FULL,
        /**
         * Each datagram is encoded, but only one in {@link #DATAGRAMS_PER_DECODING} is decoded.
         * Disks do not keep forced records.
         */
        SAMPLED
    }

    private static final int DATAGRAMS_PER_DECODING = 64;

    private final EventQueue<Runnable> queue = new EventQueue<>(0);
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Network network;
    private final SplittableRandom random;
    private final Fidelity fidelity;
    private final Observer observer;
    private MessageInterceptor interceptor = (from, to, message) -> message;
    private BiConsumer<Node, Long> stepDownListener = (node, term) -> {};
    private long datagrams;
    private long maxDatagrams = Long.MAX_VALUE;

    /** Creates a simulation without nodes. */
    public Simulation(long seed, Network network, Fidelity fidelity, Observer observer) {
        this.network = network;
        this.fidelity = fidelity;
        this.observer = observer;
        random = new SplittableRandom(new Seeds(seed).stream("nodes").nextLong());
    }

    /** Adds a node that does not run yet. */
    public Node add(Location location, DistributionSettings settings) {
        Node node = new Node(this, location, settings, random.split());
        nodes.put(node.address(), node);
        return node;
    }

    /** Returns all nodes in the order in which they were added. */
    public Collection<Node> nodes() {
        return nodes.values();
    }

    /** Returns the node with the given address, or null if there is none. */
    public Node node(String address) {
        return nodes.get(address);
    }

    /** Returns all nodes with the given role. */
    public List<Node> nodes(Role role) {
        List<Node> matching = new ArrayList<>();
        nodes.values().stream().filter(node -> node.role() == role).forEach(matching::add);
        return matching;
    }

    /** Returns the network that connects the nodes. */
    public Network network() {
        return network;
    }

    Observer observer() {
        return observer;
    }

    boolean keepsDisks() {
        return fidelity == Fidelity.FULL;
    }

    /** Sets the interceptor of all messages sent from now on. */
    public void setInterceptor(MessageInterceptor interceptor) {
        this.interceptor = interceptor;
    }

    /**
     * Sets the listener that is called when a leader steps down. Its arguments are the leader's
     * node and the term that the leader ends.
     */
    public void setStepDownListener(BiConsumer<Node, Long> listener) {
        stepDownListener = listener;
    }

    void steppedDown(Node node, long term) {
        queue.scheduleAfter(0, () -> stepDownListener.accept(node, term));
    }

    /** Returns the simulated time in microseconds. */
    public long nowUs() {
        return queue.nowUs();
    }

    /** Schedules an action at a simulated time in microseconds. */
    public void scheduleAt(long atUs, Runnable action) {
        queue.scheduleAt(atUs, action);
    }

    /** Schedules an action after a delay in microseconds. */
    public void scheduleAfter(long delayUs, Runnable action) {
        queue.scheduleAfter(delayUs, action);
    }

    /** Runs all events up to a simulated time in microseconds. */
    public void runUntil(long endUs) {
        for (Runnable next = queue.pollUntil(endUs); next != null; next = queue.pollUntil(endUs)) {
            next.run();
        }
        queue.advanceTo(endUs);
    }

    void send(Node from, String peer, Message original) {
        Node to = nodes.get(peer);
        if (to == null) {
            throw new IllegalStateException(from + " sends to " + peer + ", which does not exist");
        }
        Message message = interceptor.onSend(from, to, original);
        if (message == null) {
            return;
        }
        byte[] bytes = MessageCodec.encode(FLEET_NAME, message);
        if (bytes.length > Frame.MAX_BYTES) {
            throw new BrokenPromise(bytes.length + " bytes in one datagram: " + message);
        }
        observer.sent(from, bytes.length);
        Message received = checkAndDecode(message, bytes);
        if (network.loses(from, to)) {
            return;
        }
        deliver(from, to, received, bytes.length);
        if (network.duplicates()) {
            deliver(from, to, received, bytes.length);
        }
    }

    /**
     * Sets the maximum number of datagrams in a run. More datagrams count as a message storm and
     * end the run with an exception.
     */
    public void setMaxDatagrams(long max) {
        maxDatagrams = max;
    }

    private Message checkAndDecode(Message message, byte[] bytes) {
        datagrams++;
        if (datagrams > maxDatagrams) {
            throw new BrokenPromise(
                    "more than " + maxDatagrams + " datagrams, the last " + message);
        }
        if (fidelity == Fidelity.SAMPLED && datagrams % DATAGRAMS_PER_DECODING != 0) {
            return message;
        }
        MessageCodec.Read read = MessageCodec.decode(FLEET_NAME, bytes);
        if (read.message() == null) {
            throw new BrokenPromise("cannot be decoded, " + read.dropReason() + ": " + message);
        }
        return read.message();
    }

    private void deliver(Node from, Node to, Message message, int bytes) {
        scheduleAfter(
                network.delayUs(from, to),
                () -> {
                    observer.received(to, bytes);
                    to.receive(from.address(), message);
                });
    }
}
