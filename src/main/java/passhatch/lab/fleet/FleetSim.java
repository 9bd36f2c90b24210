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
    private static final int SOCKET_BUFFER_DATAGRAMS = 256;

    /** That a process sends at most when nothing is configured. */
    public static final long DEFAULT_BYTES_PER_SECOND = 16_384;

    /**
     * What happens to datagrams; times in microseconds.
     *
     * @param loss share that never arrives
     * @param duplication share that arrives twice
     * @param late share that takes a hundred times as long
     * @param minDelayUs that each takes at least
     * @param jitterUs and up to so much more
     */
    public record NetworkConditions(
            double loss, double duplication, double late, long minDelayUs, long jitterUs) {
        /** A local network on which all is well. */
        public static final NetworkConditions RELIABLE = new NetworkConditions(0, 0, 0, 200, 800);

        /** The same, losing three in ten. */
        public static final NetworkConditions LOSSY = new NetworkConditions(0.3, 0, 0, 200, 800);
    }

    /** Hears whatever a process comes to think of a member. */
    public interface StatusListener {
        /** At a time of the simulation, process {@code observer} has changed its mind. */
        void statusChanged(long atUs, int observer, Status before, MemberInfo after);
    }

    private record Event(
            long atUs, long sequenceNumber, int to, int from, byte[] datagram, Runnable action) {}

    /** One process and its machine. */
    private final class Node implements FleetActions {
        private final int index;
        private final FleetSettings settings;
        private final Queue<Event> receiveBuffer = new ArrayDeque<>();
        private Membership membership;
        private boolean stopped;
        private long persistedEpoch;
        private long clockOffsetUs;
        private long timerAtUs;
        private long startCount;

        Node(int index, FleetSettings settings) {
            this.index = index;
            this.settings = settings;
        }

        boolean participates() {
            return membership != null && !stopped && !membership.superseded();
        }

        long localTimeUs() {
            return nowUs + clockOffsetUs;
        }

        @Override
        public void send(int addressIndex, byte[] datagram) {
            FleetSim.this.send(index, addressIndex, datagram);
        }

        @Override
        public boolean persistEpoch(long epoch) {
            persistedEpoch = epoch;
            return true;
        }

        @Override
        public void memberChanged(Status before, MemberInfo after) {
            statusListener.statusChanged(nowUs, index, before, after);
        }

        @Override
        public void warn(String text) {
            warnings.add(nowUs / 1000 + " ms: process " + index + ": " + text);
        }

        void scheduleTimer() {
            long atUs = Math.max(nowUs, membership.wakeAtUs() - clockOffsetUs);
            if (timerAtUs <= nowUs || atUs < timerAtUs) {
                timerAtUs = atUs;
                events.add(new Event(atUs, nextSequenceNumber++, index, -1, null, null));
            }
        }

        void onTimer(Event event) {
            if (membership != null && !stopped && event.atUs() == timerAtUs) {
                timerAtUs = 0;
                membership.timer(localTimeUs());
                scheduleTimer();
            }
        }

        void onDatagram(Event event) {
            if (membership == null) {
                return;
            }
            if (stopped) {
                if (receiveBuffer.size() < SOCKET_BUFFER_DATAGRAMS) {
                    receiveBuffer.add(event);
                }
                return;
            }
            membership.receive(localTimeUs(), event.from(), event.datagram());
            scheduleTimer();
        }
    }

    private final Seeds seeds;
    private final UniformRandomProvider random;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atUs).thenComparingLong(Event::sequenceNumber));
    private final List<String> warnings = new ArrayList<>();
    private NetworkConditions networkConditions = NetworkConditions.RELIABLE;
    private BiPredicate<Integer, Integer> connectivity = (a, b) -> true;
    private StatusListener statusListener = (delayUs, observer, before, after) -> {};
    private long nowUs = 1_000_000;
    private long nextSequenceNumber;
    private long sentDatagrams;
    private long sentBytes;
    private long processedEvents;

    /** No process runs yet; process i has the i-th of these settings. */
    public FleetSim(long seed, List<FleetSettings> settings) {
        this.seeds = new Seeds(seed);
        this.random = seeds.stream("network");
        for (FleetSettings each : settings) {
            nodes.add(new Node(nodes.size(), each));
        }
    }

    /** Settings as they are when nothing is configured, for a process of a fleet of this size. */
    public static FleetSettings settings(int index, int members) {
        return settings("n" + index, index, members);
    }

    /** The same for a name of one's own. */
    public static FleetSettings settings(String name, int index, int members) {
        return settings(name, index, members, DEFAULT_BYTES_PER_SECOND);
    }

    private static FleetSettings settings(
            String name, int index, int members, long bytesPerSecond) {
        return new FleetSettings(
                "jackson",
                name,
                "0.1.0",
                "proxy",
                index,
                members,
                500_000,
                bytesPerSecond,
                3_600_000_000L);
    }

    /** All processes of a fleet, each with a name of its own. */
    public static FleetSim fleet(long seed, int members) {
        return fleet(seed, members, DEFAULT_BYTES_PER_SECOND);
    }

    /** The same with another limit on what each may send. */
    public static FleetSim fleet(long seed, int members, long bytesPerSecond) {
        List<FleetSettings> settings = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            settings.add(settings("n" + i, i, members, bytesPerSecond));
        }
        return new FleetSim(seed, settings);
    }

    public void setNetworkConditions(NetworkConditions conditions) {
        networkConditions = conditions;
    }

    /** Whether a datagram from one process to another passes, from now on. */
    public void setConnectivity(BiPredicate<Integer, Integer> fromTo) {
        connectivity = fromTo;
    }

    public void setStatusListener(StatusListener listener) {
        statusListener = listener;
    }

    /** Microseconds since the beginning. */
    public long nowUs() {
        return nowUs;
    }

    public int size() {
        return nodes.size();
    }

    /** Lines that processes wrote for those on call. */
    public List<String> warnings() {
        return warnings;
    }

    /** Datagrams that were sent so far. */
    public long sentDatagrams() {
        return sentDatagrams;
    }

    /** Bytes of those. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Events that were played so far. */
    public long processedEvents() {
        return processedEvents;
    }

    /** Starts a process that does not run; its disk has kept the epoch. */
    public void start(int index) {
        Node node = nodes.get(index);
        if (node.membership == null) {
            node.persistedEpoch++;
            node.stopped = false;
            node.timerAtUs = 0;
            node.membership =
                    new Membership(
                            node.settings,
                            node.localTimeUs(),
                            node.persistedEpoch,
                            new SplittableRandom(
                                    seeds.stream("process-" + index + "-" + node.startCount++)
                                            .nextLong()),
                            node);
            node.scheduleTimer();
        }
    }

    public void startAll() {
        for (int i = 0; i < nodes.size(); i++) {
            start(i);
        }
    }

    /** Starts all processes, each of which knows all others from the beginning. */
    public void startAllConverged() {
        startAll();
        Membership.Snapshot all =
                Membership.snapshot(nodes.stream().map(n -> n.membership).toList(), nodes.size());
        for (Node node : nodes) {
            node.membership.adopt(all);
            node.scheduleTimer();
        }
    }

    /** How many members a running process sees as present, itself and suspects among them. */
    public int presentCount(int index) {
        return nodes.get(index).membership.presentCount();
    }

    /** Ends a process without a word. */
    public void kill(int index) {
        nodes.get(index).membership = null;
        nodes.get(index).receiveBuffer.clear();
    }

    /** Has a process say that it goes, and ends it a second later. */
    public void leave(int index) {
        Node node = nodes.get(index);
        if (node.membership != null) {
            Membership leaving = node.membership;
            leaving.leave(node.localTimeUs());
            node.scheduleTimer();
            after(
                    1_000_000,
                    () -> {
                        if (node.membership == leaving) {
                            kill(index);
                        }
                    });
        }
    }

    /** Does something at a time from now on, in microseconds. */
    public void after(long delayUs, Runnable action) {
        events.add(new Event(nowUs + delayUs, nextSequenceNumber++, -1, -1, null, action));
    }

    /** As SIGSTOP: it does nothing, and datagrams wait for it. */
    public void stop(int index) {
        nodes.get(index).stopped = true;
    }

    /** As SIGCONT. */
    public void cont(int index) {
        Node node = nodes.get(index);
        if (node.stopped) {
            node.stopped = false;
            List<Event> buffered = new ArrayList<>(node.receiveBuffer);
            node.receiveBuffer.clear();
            buffered.forEach(node::onDatagram);
            if (node.membership != null) {
                node.timerAtUs = 0;
                node.scheduleTimer();
            }
        }
    }

    /** A process's clock moves on by so much in one piece, or back. */
    public void jumpClock(int index, long offsetUs) {
        Node node = nodes.get(index);
        node.clockOffsetUs += offsetUs;
        if (node.membership != null && !node.stopped) {
            node.timerAtUs = 0;
            node.scheduleTimer();
        }
    }

    /** A machine's disk is set back by so many starts of its process. */
    public void rollBackDisk(int index, int starts) {
        nodes.get(index).persistedEpoch = Math.max(0, nodes.get(index).persistedEpoch - starts);
    }

    /**
     * Makes a process slow for good: it is held for a while, works for a while, held again, and so
     * on.
     */
    public void stopRepeatedly(int index, long maxStoppedUs, long maxRunningUs) {
        UniformRandomProvider stopRandom = seeds.stream("slow-" + index);
        scheduleNextStop(index, maxStoppedUs, maxRunningUs, stopRandom);
    }

    private void scheduleNextStop(
            int index, long maxStoppedUs, long maxRunningUs, UniformRandomProvider stopRandom) {
        after(
                1 + stopRandom.nextLong(maxRunningUs),
                () -> {
                    stop(index);
                    after(
                            1 + stopRandom.nextLong(maxStoppedUs),
                            () -> {
                                cont(index);
                                scheduleNextStop(index, maxStoppedUs, maxRunningUs, stopRandom);
                            });
                });
    }

    /** Plays so much more time. */
    public void runFor(long durationUs) {
        long endUs = nowUs + durationUs;
        while (!events.isEmpty() && events.peek().atUs() <= endUs) {
            Event event = events.poll();
            nowUs = Math.max(nowUs, event.atUs());
            processedEvents++;
            if (event.action() != null) {
                event.action().run();
            } else if (event.datagram() != null) {
                nodes.get(event.to()).onDatagram(event);
            } else {
                nodes.get(event.to()).onTimer(event);
            }
        }
        nowUs = endUs;
    }

    private void send(int from, int to, byte[] datagram) {
        sentDatagrams++;
        sentBytes += datagram.length;
        if (!connectivity.test(from, to) || random.nextDouble() < networkConditions.loss()) {
            return;
        }
        int copies =
                networkConditions.duplication() > 0
                                && random.nextDouble() < networkConditions.duplication()
                        ? 2
                        : 1;
        for (int i = 0; i < copies; i++) {
            long delayUs =
                    networkConditions.minDelayUs()
                            + random.nextLong(networkConditions.jitterUs() + 1);
            if (networkConditions.late() > 0 && random.nextDouble() < networkConditions.late()) {
                delayUs *= 100;
            }
            events.add(new Event(nowUs + delayUs, nextSequenceNumber++, to, from, datagram, null));
        }
    }

    /** Whether a process runs, be it held or not. */
    public boolean isRunning(int index) {
        return nodes.get(index).membership != null;
    }

    public boolean isStopped(int index) {
        return nodes.get(index).stopped;
    }

    /** What a running process thinks. */
    public List<MemberInfo> view(int index) {
        return nodes.get(index).membership.members();
    }

    /** What a running process thinks of a member; null where it knows none of that name. */
    public Status statusInView(int index, String name) {
        return view(index).stream()
                .filter(m -> m.name().equals(name))
                .map(MemberInfo::status)
                .findAny()
                .orElse(null);
    }

    public Incarnation incarnation(int index) {
        return nodes.get(index).membership.incarnation();
    }

    public boolean isSuperseded(int index) {
        return nodes.get(index).membership.superseded();
    }

    /** Whether all processes that run and are not held have the same view, but for suspicion. */
    public boolean viewsAgree() {
        return nodes.stream()
                        .filter(Node::participates)
                        .map(n -> n.membership.digest())
                        .distinct()
                        .count()
                <= 1;
    }

    /**
     * Whether each process that runs and is not held sees just those as present, and itself among
     * them.
     */
    public boolean viewsAreAccurate() {
        Set<String> running =
                nodes.stream()
                        .filter(Node::participates)
                        .map(n -> n.settings.name())
                        .collect(Collectors.toSet());
        return nodes.stream()
                .filter(Node::participates)
                .allMatch(n -> n.membership.hasExactlyPresent(running));
    }

    /**
     * Plays on until something holds, looking every so often; microseconds it took, or -1 if it did
     * not.
     */
    public long runUntil(BooleanSupplier condition, long checkIntervalUs, long timeoutUs) {
        long startUs = nowUs;
        while (!condition.getAsBoolean()) {
            if (nowUs - startUs >= timeoutUs) {
                return -1;
            }
            runFor(checkIntervalUs);
        }
        return nowUs - startUs;
    }

    /** Datagrams and bytes that a process has sent, and what it did not take. */
    public Membership.Metrics metrics(int index) {
        return nodes.get(index).membership.metrics();
    }

    /** Datagrams that a process has dropped for a reason. */
    public long dropped(int index, DropReason reason) {
        return metrics(index).dropped().getOrDefault(reason, 0L);
    }
}
