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
 * A single-threaded simulation of a fleet. The same seed and the same calls give the same run.
 * Process i has index i in the address list of every process. Several processes may use the same
 * name.
 */
public final class FleetSim {

    /**
     * Maximum number of datagrams that a socket buffers for a stopped process; further ones are
     * lost.
     */
    private static final int SOCKET_BUFFER_DATAGRAMS = 256;

    /** The send rate limit of a process for which no other limit is given, in bytes per second. */
    public static final long DEFAULT_BYTES_PER_SECOND = 16_384;

    /**
     * Loss, duplication and delay of datagrams.
     *
     * @param loss fraction of datagrams that are lost
     * @param duplication fraction of datagrams that arrive twice
     * @param late fraction of datagrams that take a hundred times as long
     * @param minDelayUs minimum delay, in microseconds
     * @param jitterUs maximum random time that is added to the minimum delay, in microseconds
     */
    public record NetworkConditions(
            double loss, double duplication, double late, long minDelayUs, long jitterUs) {
        /** A local network without loss, duplicates or late datagrams. */
        public static final NetworkConditions RELIABLE = new NetworkConditions(0, 0, 0, 200, 800);

        /** A local network that loses three in ten datagrams. */
        public static final NetworkConditions LOSSY = new NetworkConditions(0.3, 0, 0, 200, 800);
    }

    /** Listener for changes of members' statuses in the views of processes. */
    public interface StatusListener {
        /**
         * Called when the status of a member changes in the view of process {@code observer};
         * {@code before} is null for a new member.
         */
        void statusChanged(long atUs, int observer, Status before, MemberInfo after);
    }

    private record Event(
            long atUs, long sequenceNumber, int to, int from, byte[] datagram, Runnable action) {}

    /** One process with the disk and the clock of its machine. */
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

    /**
     * Creates a fleet in which process i uses the settings at index i of the list. No process runs
     * yet.
     */
    public FleetSim(long seed, List<FleetSettings> settings) {
        this.seeds = new Seeds(seed);
        this.random = seeds.stream("network");
        for (FleetSettings each : settings) {
            nodes.add(new Node(nodes.size(), each));
        }
    }

    /**
     * Returns the default settings of process {@code index} in a fleet with {@code members}
     * processes.
     */
    public static FleetSettings defaultSettings(int index, int members) {
        return defaultSettings("n" + index, index, members);
    }

    /** Returns the default settings of process {@code index} with a given name. */
    public static FleetSettings defaultSettings(String name, int index, int members) {
        return defaultSettings(name, index, members, DEFAULT_BYTES_PER_SECOND);
    }

    private static FleetSettings defaultSettings(
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

    /**
     * Creates a fleet of processes with distinct names; process i is named {@code n} followed by i.
     */
    public static FleetSim fleet(long seed, int members) {
        return fleet(seed, members, DEFAULT_BYTES_PER_SECOND);
    }

    /** Creates a fleet of processes with distinct names, each with the given send rate limit. */
    public static FleetSim fleet(long seed, int members, long bytesPerSecond) {
        List<FleetSettings> settings = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            settings.add(defaultSettings("n" + i, i, members, bytesPerSecond));
        }
        return new FleetSim(seed, settings);
    }

    public void setNetworkConditions(NetworkConditions conditions) {
        networkConditions = conditions;
    }

    /**
     * Sets the filter that decides, by the indexes of the sender and the receiver, which datagrams
     * may pass from now on.
     */
    public void setConnectivity(BiPredicate<Integer, Integer> fromTo) {
        connectivity = fromTo;
    }

    public void setStatusListener(StatusListener listener) {
        statusListener = listener;
    }

    /** Returns the simulated time in microseconds. */
    public long nowUs() {
        return nowUs;
    }

    public int size() {
        return nodes.size();
    }

    /** Returns the warnings that processes have given to the operator, each with its time. */
    public List<String> warnings() {
        return warnings;
    }

    /** Returns how many datagrams all processes have sent so far. */
    public long sentDatagrams() {
        return sentDatagrams;
    }

    /** Returns how many bytes all processes have sent so far. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Returns how many events have been processed so far. */
    public long processedEvents() {
        return processedEvents;
    }

    /**
     * Starts a process, unless it already runs. The process uses the epoch that follows the one on
     * its disk.
     */
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

    /** Starts all processes with views that already contain all others. */
    public void startAllConverged() {
        startAll();
        Membership.Snapshot all =
                Membership.snapshot(nodes.stream().map(n -> n.membership).toList(), nodes.size());
        for (Node node : nodes) {
            node.membership.adopt(all);
            node.scheduleTimer();
        }
    }

    /**
     * Returns how many members are alive or suspect in the view of a running process. The process
     * itself is counted as well.
     */
    public int presentCount(int index) {
        return nodes.get(index).membership.presentCount();
    }

    /** Ends a process without notice to the other members. */
    public void kill(int index) {
        nodes.get(index).membership = null;
        nodes.get(index).receiveBuffer.clear();
    }

    /** Makes a process announce that it leaves, and ends the process one second later. */
    public void leave(int index) {
        Node node = nodes.get(index);
        if (node.membership != null) {
            Membership leaving = node.membership;
            leaving.leave(node.localTimeUs());
            node.scheduleTimer();
            scheduleAfter(
                    1_000_000,
                    () -> {
                        if (node.membership == leaving) {
                            kill(index);
                        }
                    });
        }
    }

    /** Runs an action after a delay in microseconds. */
    public void scheduleAfter(long delayUs, Runnable action) {
        events.add(new Event(nowUs + delayUs, nextSequenceNumber++, -1, -1, null, action));
    }

    /** Stops a process as SIGSTOP does. While it is stopped, its socket buffers datagrams. */
    public void stop(int index) {
        nodes.get(index).stopped = true;
    }

    /**
     * Continues a stopped process as SIGCONT does. The process first receives the buffered
     * datagrams.
     */
    public void resume(int index) {
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

    /**
     * Changes the clock of a process by an offset in microseconds; a negative offset sets the clock
     * back.
     */
    public void jumpClock(int index, long offsetUs) {
        Node node = nodes.get(index);
        node.clockOffsetUs += offsetUs;
        if (node.membership != null && !node.stopped) {
            node.timerAtUs = 0;
            node.scheduleTimer();
        }
    }

    /**
     * Restores the disk of a process to the state that it had {@code starts} starts of the process
     * ago.
     */
    public void rollBackDisk(int index, int starts) {
        nodes.get(index).persistedEpoch = Math.max(0, nodes.get(index).persistedEpoch - starts);
    }

    /**
     * Makes a process alternate between running and being stopped for the rest of the simulation.
     * Each phase lasts a random time, up to the given maximum.
     */
    public void stopRepeatedly(int index, long maxStoppedUs, long maxRunningUs) {
        UniformRandomProvider stopRandom = seeds.stream("slow-" + index);
        scheduleNextStop(index, maxStoppedUs, maxRunningUs, stopRandom);
    }

    private void scheduleNextStop(
            int index, long maxStoppedUs, long maxRunningUs, UniformRandomProvider stopRandom) {
        scheduleAfter(
                1 + stopRandom.nextLong(maxRunningUs),
                () -> {
                    stop(index);
                    scheduleAfter(
                            1 + stopRandom.nextLong(maxStoppedUs),
                            () -> {
                                resume(index);
                                scheduleNextStop(index, maxStoppedUs, maxRunningUs, stopRandom);
                            });
                });
    }

    /** Advances the simulation by a duration in microseconds. */
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

    /** Returns whether a process runs. A stopped process counts as running. */
    public boolean isRunning(int index) {
        return nodes.get(index).membership != null;
    }

    public boolean isStopped(int index) {
        return nodes.get(index).stopped;
    }

    /** Returns the members in the view of a running process. */
    public List<MemberInfo> view(int index) {
        return nodes.get(index).membership.members();
    }

    /**
     * Returns the status of a member in the view of a running process, or null if no member of the
     * view has that name.
     */
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

    /**
     * Returns whether all participating processes have the same view, apart from suspicions. A
     * process participates if it runs and is neither stopped nor superseded.
     */
    public boolean viewsAgree() {
        return nodes.stream()
                        .filter(Node::participates)
                        .map(n -> n.membership.digest())
                        .distinct()
                        .count()
                <= 1;
    }

    /**
     * Returns true if, in the view of each participating process, exactly the participating
     * processes are alive or suspect. A process participates if it runs and is neither stopped nor
     * superseded.
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
     * Runs the simulation until a condition holds. The condition is checked at an interval. Returns
     * the simulated time that passed, in microseconds, or -1 if the condition did not hold within
     * the timeout.
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

    /** Returns the metrics of a running process, such as the datagrams sent and dropped. */
    public Membership.Metrics metrics(int index) {
        return nodes.get(index).membership.metrics();
    }

    /** Returns how many datagrams a running process has dropped for the given reason. */
    public long droppedDatagrams(int index, DropReason reason) {
        return metrics(index).dropped().getOrDefault(reason, 0L);
    }
}
