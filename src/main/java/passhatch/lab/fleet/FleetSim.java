package passhatch.lab.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.fleet.DropReason;
import passhatch.fleet.FleetActions;
import passhatch.fleet.FleetSettings;
import passhatch.fleet.Incarnation;
import passhatch.fleet.MemberInfo;
import passhatch.fleet.Membership;
import passhatch.fleet.Status;
import passhatch.lab.Seeds;

/**
 * A fleet in simulated time, on one thread: the same seed and the same calls give the same run.
 * Process i has place i in every process's list of addresses; several processes may claim one name.
 */
public final class FleetSim {

    /** Datagrams that wait at a process that does not read them, at most; then they are lost. */
    private static final int SOCKET_BUFFER = 256;

    /** That a process sends at most when nothing is configured. */
    public static final long BYTES_PER_SECOND = 16_384;

    /**
     * What happens to datagrams; times in microseconds.
     *
     * @param lost share that never arrives
     * @param doubled share that arrives twice
     * @param late share that takes a hundred times as long
     * @param delayUs that each takes at least
     * @param jitterUs and up to so much more
     */
    public record Network(double lost, double doubled, double late, long delayUs, long jitterUs) {
        /** A local network on which all is well. */
        public static final Network FAIR = new Network(0, 0, 0, 200, 800);

        /** The same, losing three in ten. */
        public static final Network LOSSY = new Network(0.3, 0, 0, 200, 800);
    }

    /** Hears whatever a process comes to think of a member. */
    public interface Watcher {
        /** At a time of the simulation, process {@code observer} has changed its mind. */
        void changed(long us, int observer, Status before, MemberInfo after);
    }

    private record Event(long us, long order, int to, int from, byte[] datagram, Runnable action) {}

    /** One process and its machine. */
    private final class Node implements FleetActions {
        private final int number;
        private final FleetSettings settings;
        private final Queue<Event> waiting = new ArrayDeque<>();
        private Membership membership;
        private boolean stopped;
        private long epoch;
        private long clockUs;
        private long wakeUs;
        private long lives;

        Node(int number, FleetSettings settings) {
            this.number = number;
            this.settings = settings;
        }

        boolean takesPart() {
            return membership != null && !stopped && !membership.superseded();
        }

        long localUs() {
            return nowUs + clockUs;
        }

        @Override
        public void send(int address, byte[] datagram) {
            FleetSim.this.send(number, address, datagram);
        }

        @Override
        public boolean persistEpoch(long newer) {
            epoch = newer;
            return true;
        }

        @Override
        public void memberChanged(Status before, MemberInfo after) {
            watcher.changed(nowUs, number, before, after);
        }

        @Override
        public void warn(String text) {
            notes.add(nowUs / 1000 + " ms: process " + number + ": " + text);
        }

        void plan() {
            long at = Math.max(nowUs, membership.wakeAtUs() - clockUs);
            if (wakeUs <= nowUs || at < wakeUs) {
                wakeUs = at;
                events.add(new Event(at, order++, number, -1, null, null));
            }
        }

        void wake(Event event) {
            if (membership != null && !stopped && event.us() == wakeUs) {
                wakeUs = 0;
                membership.timer(localUs());
                plan();
            }
        }

        void arrive(Event event) {
            if (membership == null) {
                return;
            }
            if (stopped) {
                if (waiting.size() < SOCKET_BUFFER) {
                    waiting.add(event);
                }
                return;
            }
            membership.receive(localUs(), event.from(), event.datagram());
            plan();
        }
    }

    private final Seeds seeds;
    private final UniformRandomProvider random;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::us).thenComparingLong(Event::order));
    private final List<String> notes = new ArrayList<>();
    private Network network = Network.FAIR;
    private BiPredicate<Integer, Integer> passes = (a, b) -> true;
    private Watcher watcher = (us, observer, before, after) -> {};
    private long nowUs = 1_000_000;
    private long order;
    private long datagrams;
    private long bytes;
    private long steps;

    /** No process runs yet; process i has the i-th of these settings. */
    public FleetSim(long seed, List<FleetSettings> settings) {
        this.seeds = new Seeds(seed);
        this.random = seeds.stream("network");
        for (FleetSettings each : settings) {
            nodes.add(new Node(nodes.size(), each));
        }
    }

    /** Settings as they are when nothing is configured, for a process of a fleet of this size. */
    public static FleetSettings settings(int number, int members) {
        return settings("n" + number, number, members);
    }

    /** The same for a name of one's own. */
    public static FleetSettings settings(String name, int number, int members) {
        return settings(name, number, members, BYTES_PER_SECOND);
    }

    private static FleetSettings settings(
            String name, int number, int members, long bytesPerSecond) {
        return new FleetSettings(
                "jackson",
                name,
                "0.1.0",
                "proxy",
                number,
                members,
                500_000,
                bytesPerSecond,
                3_600_000_000L);
    }

    /** All processes of a fleet, each with a name of its own. */
    public static FleetSim fleet(long seed, int members) {
        return fleet(seed, members, BYTES_PER_SECOND);
    }

    /** The same with another limit on what each may send. */
    public static FleetSim fleet(long seed, int members, long bytesPerSecond) {
        List<FleetSettings> all = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            all.add(settings("n" + i, i, members, bytesPerSecond));
        }
        return new FleetSim(seed, all);
    }

    public void network(Network now) {
        network = now;
    }

    /** Whether a datagram from one process to another passes, from now on. */
    public void connected(BiPredicate<Integer, Integer> now) {
        passes = now;
    }

    public void watcher(Watcher now) {
        watcher = now;
    }

    /** Microseconds since the beginning. */
    public long nowUs() {
        return nowUs;
    }

    public int size() {
        return nodes.size();
    }

    /** Lines that processes wrote for those on call. */
    public List<String> notes() {
        return notes;
    }

    /** Datagrams that were sent so far. */
    public long datagrams() {
        return datagrams;
    }

    /** Bytes of those. */
    public long bytes() {
        return bytes;
    }

    /** Events that were played so far. */
    public long steps() {
        return steps;
    }

    /** Starts a process that does not run; its disk has kept the epoch. */
    public void start(int number) {
        Node node = nodes.get(number);
        if (node.membership == null) {
            node.epoch++;
            node.stopped = false;
            node.wakeUs = 0;
            node.membership =
                    new Membership(
                            node.settings,
                            node.localUs(),
                            node.epoch,
                            new SplittableRandom(
                                    seeds.stream("process-" + number + "-" + node.lives++)
                                            .nextLong()),
                            node);
            node.plan();
        }
    }

    public void startAll() {
        for (int i = 0; i < nodes.size(); i++) {
            start(i);
        }
    }

    /** Starts all processes, each of which knows all others from the beginning. */
    public void startAllAgreed() {
        startAll();
        Membership.Snapshot all =
                Membership.snapshot(nodes.stream().map(n -> n.membership).toList(), nodes.size());
        for (Node node : nodes) {
            node.membership.adopt(all);
            node.plan();
        }
    }

    /** How many members a running process sees as present, itself and suspects among them. */
    public int present(int number) {
        return nodes.get(number).membership.presentCount();
    }

    /** Ends a process without a word. */
    public void kill(int number) {
        nodes.get(number).membership = null;
        nodes.get(number).waiting.clear();
    }

    /** Has a process say that it goes, and ends it a second later. */
    public void leave(int number) {
        Node node = nodes.get(number);
        if (node.membership != null) {
            Membership leaving = node.membership;
            leaving.leave(node.localUs());
            node.plan();
            after(
                    1_000_000,
                    () -> {
                        if (node.membership == leaving) {
                            kill(number);
                        }
                    });
        }
    }

    /** Does something at a time from now on, in microseconds. */
    public void after(long us, Runnable action) {
        events.add(new Event(nowUs + us, order++, -1, -1, null, action));
    }

    /** As SIGSTOP: it does nothing, and datagrams wait for it. */
    public void stop(int number) {
        nodes.get(number).stopped = true;
    }

    /** As SIGCONT. */
    public void cont(int number) {
        Node node = nodes.get(number);
        if (node.stopped) {
            node.stopped = false;
            List<Event> waiting = new ArrayList<>(node.waiting);
            node.waiting.clear();
            waiting.forEach(node::arrive);
            if (node.membership != null) {
                node.wakeUs = 0;
                node.plan();
            }
        }
    }

    /** A process's clock moves on by so much in one piece, or back. */
    public void jump(int number, long us) {
        Node node = nodes.get(number);
        node.clockUs += us;
        if (node.membership != null && !node.stopped) {
            node.wakeUs = 0;
            node.plan();
        }
    }

    /** A machine's disk is set back by so many starts of its process. */
    public void setBack(int number, int starts) {
        nodes.get(number).epoch = Math.max(0, nodes.get(number).epoch - starts);
    }

    /**
     * Makes a process slow for good: it is held for a while, works for a while, held again, and so
     * on.
     */
    public void slow(int number, long mostHeldUs, long mostFreeUs) {
        UniformRandomProvider own = seeds.stream("slow-" + number);
        slowAgain(number, mostHeldUs, mostFreeUs, own);
    }

    private void slowAgain(
            int number, long mostHeldUs, long mostFreeUs, UniformRandomProvider own) {
        after(
                1 + own.nextLong(mostFreeUs),
                () -> {
                    stop(number);
                    after(
                            1 + own.nextLong(mostHeldUs),
                            () -> {
                                cont(number);
                                slowAgain(number, mostHeldUs, mostFreeUs, own);
                            });
                });
    }

    /** Plays so much more time. */
    public void run(long us) {
        long end = nowUs + us;
        while (!events.isEmpty() && events.peek().us() <= end) {
            Event event = events.poll();
            nowUs = Math.max(nowUs, event.us());
            steps++;
            if (event.action() != null) {
                event.action().run();
            } else if (event.datagram() != null) {
                nodes.get(event.to()).arrive(event);
            } else {
                nodes.get(event.to()).wake(event);
            }
        }
        nowUs = end;
    }

    private void send(int from, int to, byte[] datagram) {
        datagrams++;
        bytes += datagram.length;
        if (!passes.test(from, to) || random.nextDouble() < network.lost()) {
            return;
        }
        int copies = network.doubled() > 0 && random.nextDouble() < network.doubled() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long us = network.delayUs() + random.nextLong(network.jitterUs() + 1);
            if (network.late() > 0 && random.nextDouble() < network.late()) {
                us *= 100;
            }
            events.add(new Event(nowUs + us, order++, to, from, datagram, null));
        }
    }

    /** Whether a process runs, be it held or not. */
    public boolean runs(int number) {
        return nodes.get(number).membership != null;
    }

    public boolean stopped(int number) {
        return nodes.get(number).stopped;
    }

    /** What a running process thinks. */
    public List<MemberInfo> view(int number) {
        return nodes.get(number).membership.members();
    }

    /** What a running process thinks of a member; null where it knows none of that name. */
    public Status says(int number, String name) {
        return view(number).stream()
                .filter(m -> m.name().equals(name))
                .map(MemberInfo::status)
                .findAny()
                .orElse(null);
    }

    public Incarnation incarnation(int number) {
        return nodes.get(number).membership.incarnation();
    }

    public boolean givenWay(int number) {
        return nodes.get(number).membership.superseded();
    }

    /** Whether all processes that run and are not held have the same view, but for suspicion. */
    public boolean agree() {
        return nodes.stream()
                        .filter(Node::takesPart)
                        .map(n -> n.membership.digest())
                        .distinct()
                        .count()
                <= 1;
    }

    /**
     * Whether each process that runs and is not held sees just those as present, and itself among
     * them.
     */
    public boolean settled() {
        Set<String> running =
                nodes.stream()
                        .filter(Node::takesPart)
                        .map(n -> n.settings.name())
                        .collect(Collectors.toSet());
        return nodes.stream()
                .filter(Node::takesPart)
                .allMatch(n -> n.membership.hasExactlyPresent(running));
    }

    /**
     * Plays on until something holds, looking every so often; microseconds it took, or -1 if it did
     * not.
     */
    public long until(BooleanSupplier holds, long everyUs, long mostUs) {
        long begun = nowUs;
        while (!holds.getAsBoolean()) {
            if (nowUs - begun >= mostUs) {
                return -1;
            }
            run(everyUs);
        }
        return nowUs - begun;
    }

    /** Datagrams and bytes that a process has sent, and what it did not take. */
    public Membership.Metrics figures(int number) {
        return nodes.get(number).membership.metrics();
    }

    /** Datagrams that a process has dropped for a reason. */
    public long dropped(int number, DropReason why) {
        return figures(number).dropped().getOrDefault(why, 0L);
    }
}
