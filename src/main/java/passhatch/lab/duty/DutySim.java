package passhatch.lab.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.duty.Candidate;
import passhatch.duty.DutyActions;
import passhatch.duty.DutyMessage;
import passhatch.duty.DutySettings;
import passhatch.duty.Fence;
import passhatch.duty.Promise;
import passhatch.duty.Voter;
import passhatch.lab.Seeds;
import passhatch.lab.sim.EventQueue;

/**
 * Simulates voters and candidates of one duty with seeded faults; each process has a clock with its
 * own rate. Checks at every event that at most one candidate may act, that terms increase, and that
 * no action with an older token is executed after one with a newer token.
 */
public final class DutySim {

    private static final String DUTY = "release";
    private static final long SECOND_US = 1_000_000;
    private static final long LEASE_US = 4 * SECOND_US;
    private static final long RUN_US = 300 * SECOND_US;

    /** Length of the last part of a run, in which no fault starts. */
    private static final long FAULT_FREE_US = 60 * SECOND_US;

    private static final long ACT_INTERVAL_US = 100_000;

    /** Maximum time from sending an action to its arrival at the fence. */
    private static final long MAX_ACTION_DELAY_US = 50_000;

    /**
     * The configuration of a run.
     *
     * @param voters number of voters
     * @param candidates number of candidates
     * @param faults mean number of crashes, pauses, partitions, handovers and other faults
     * @param drift maximum clock drift that the configuration allows
     * @param realDrift maximum drift that clocks have; more than is allowed breaks the guarantee
     *     that at most one candidate acts
     */
    public record Shape(int voters, int candidates, int faults, double drift, double realDrift) {}

    /**
     * The result of a run.
     *
     * @param violation the property that did not hold, or null
     * @param holderChanges number of changes of the holder
     * @param gapsUs the lengths of the periods in which the duty had no holder, in microseconds
     * @param overlaps number of events after which two candidates could act; 0 as long as no clock
     *     drifts more than is allowed
     */
    public record RunResult(String violation, int holderChanges, List<Long> gapsUs, int overlaps) {}

    /** A simulated process with its clock. */
    private final class Host {
        private final double clockRate;
        private boolean paused;
        private final List<Runnable> pendingActions = new ArrayList<>();

        Host(double clockRate) {
            this.clockRate = clockRate;
        }

        long localUs() {
            return (long) (nowUs() * clockRate);
        }

        /** Runs an action on this host. If the host is paused, the action runs after the pause. */
        void run(Runnable action) {
            if (paused) {
                pendingActions.add(action);
            } else {
                action.run();
            }
        }

        void pause(long durationUs) {
            paused = true;
            scheduleAfter(
                    durationUs,
                    () -> {
                        paused = false;
                        List<Runnable> actions = new ArrayList<>(pendingActions);
                        pendingActions.clear();
                        actions.forEach(Runnable::run);
                    });
        }
    }

    /** A voter with its disk; a restart creates a new state machine. */
    private final class VoterNode {
        private final String name;
        private final Host host;
        private final Map<String, Promise> disk = new HashMap<>();
        private Voter voter;

        VoterNode(String name, Host host) {
            this.name = name;
            this.host = host;
        }

        /**
         * Asks the other voters for the terms that this voter has lost. Repeats this every half
         * second until this voter votes.
         */
        void recall() {
            Voter asking = voter;
            if (!asking.isVoting()) {
                settings.voters().stream()
                        .filter(v -> voters.get(v) != this)
                        .forEach(v -> send(name, v, asking.createRecall()));
                scheduleAfter(
                        SECOND_US / 2,
                        () ->
                                host.run(
                                        () -> {
                                            if (voter == asking) {
                                                recall();
                                            }
                                        }));
            }
        }

        void start() {
            voter =
                    factory.createVoter(
                            settings,
                            host.localUs(),
                            disk.values(),
                            promise -> {
                                disk.put(promise.duty(), promise);
                                return true;
                            });
            recall();
        }

        /**
         * Restarts this voter with an empty disk, but only if all voters vote: the other voters
         * then remember the terms.
         */
        void startWithoutDisk() {
            if (voters.values().stream().allMatch(v -> v.voter.isVoting())) {
                disk.clear();
                start();
            }
        }
    }

    /**
     * The process of a candidate; {@code candidate}, its state machine, is null while the process
     * is stopped.
     */
    private final class CandidateNode implements DutyActions {
        private final int number;
        private final Host host;
        private Candidate candidate;
        private int incarnation;
        private long timerUs;

        CandidateNode(int number, Host host) {
            this.number = number;
            this.host = host;
        }

        String name() {
            return "c" + number;
        }

        void start() {
            incarnation++;
            candidate =
                    factory.createCandidate(
                            settings,
                            DUTY,
                            name() + ":" + incarnation,
                            new SplittableRandom(seeds.stream(name() + incarnation).nextLong()),
                            this);
            candidate.campaign(host.localUs());
            scheduleTimer();
        }

        void scheduleTimer() {
            if (candidate == null || candidate.wakeAtUs() == Long.MAX_VALUE) {
                return;
            }
            long wakeUs =
                    Math.max(
                            nowUs() + 1,
                            (long) Math.ceil((candidate.wakeAtUs() + 1) / host.clockRate));
            if (timerUs <= nowUs() || wakeUs < timerUs) {
                timerUs = wakeUs;
                Candidate scheduled = candidate;
                events.scheduleAt(
                        wakeUs,
                        () ->
                                host.run(
                                        () -> {
                                            if (candidate == scheduled) {
                                                scheduled.timer(host.localUs());
                                                scheduleTimer();
                                            }
                                        }));
            }
        }

        void receive(String from, DutyMessage message) {
            if (candidate != null) {
                candidate.onMessage(host.localUs(), from, message);
                scheduleTimer();
            }
        }

        @Override
        public void send(String to, DutyMessage message) {
            DutySim.this.send(name(), to, message);
        }

        @Override
        public void dutyAcquired(long term) {
            if (term <= maxGrantedTerm) {
                recordViolation("term " + term + " was granted after " + maxGrantedTerm);
            }
            maxGrantedTerm = Math.max(maxGrantedTerm, term);
            holderChanges++;
            if (noHolderSinceUs >= 0) {
                gapsUs.add(nowUs() - noHolderSinceUs);
            }
        }

        @Override
        public void dutyLost(long term) {}

        /**
         * Sends an action to the fence if this candidate may act. The action arrives later, and the
         * host may be paused by then.
         */
        void act() {
            if (candidate != null && candidate.mayAct(host.localUs())) {
                long token = candidate.term();
                scheduleAfter(1 + random.nextLong(MAX_ACTION_DELAY_US), () -> execute(token));
            }
        }
    }

    private final StateMachineFactory factory;
    private final Shape shape;
    private final Seeds seeds;
    private final UniformRandomProvider random;
    private final DutySettings settings;
    private final Map<String, VoterNode> voters = new HashMap<>();
    private final Map<String, CandidateNode> candidates = new HashMap<>();
    private final EventQueue<Runnable> events = new EventQueue<>(SECOND_US);
    private final Set<String> partitioned = new HashSet<>();
    private final Set<String> mutedSenders = new HashSet<>();
    private final Fence fence = new Fence(Map.of(), (duty, token) -> true);
    private final List<Long> gapsUs = new ArrayList<>();
    private boolean unreliableNetwork;
    private long maxGrantedTerm;
    private long lastExecutedToken;
    private long noHolderSinceUs = -1;
    private int holderChanges;
    private int overlaps;
    private String violation;

    private DutySim(StateMachineFactory factory, Shape shape, long seed) {
        this.factory = factory;
        this.shape = shape;
        this.seeds = new Seeds(seed);
        this.random = seeds.stream("world");
        List<String> names = IntStream.range(0, shape.voters()).mapToObj(i -> "v" + i).toList();
        this.settings = new DutySettings(names, 1, LEASE_US, shape.drift());
        names.forEach(n -> voters.put(n, new VoterNode(n, host())));
        for (int i = 0; i < shape.candidates(); i++) {
            candidates.put("c" + i, new CandidateNode(i, host()));
        }
    }

    private Host host() {
        return new Host(1 + (2 * random.nextDouble() - 1) * shape.realDrift());
    }

    /** Simulates one run with the given seed. */
    public static RunResult simulate(StateMachineFactory factory, Shape shape, long seed) {
        return new DutySim(factory, shape, seed).run();
    }

    private RunResult run() {
        voters.values()
                .forEach(
                        v -> {
                            v.start();
                            v.voter.initialize();
                        });
        candidates.values().forEach(CandidateNode::start);
        for (int i = random.nextInt(2 * shape.faults() + 1); i > 0; i--) {
            scheduleAfter(random.nextLong(RUN_US - FAULT_FREE_US), this::injectFault);
        }
        for (CandidateNode candidate : candidates.values()) {
            scheduleAfter(random.nextLong(ACT_INTERVAL_US), () -> actPeriodically(candidate));
        }
        long endUs = nowUs() + RUN_US;
        while (violation == null) {
            Runnable event = events.pollUntil(endUs);
            if (event == null) {
                break;
            }
            if (endUs - nowUs() < FAULT_FREE_US / 2) {
                unreliableNetwork = false;
            }
            event.run();
            checkState();
        }
        if (violation == null) {
            events.advanceTo(endUs);
            if (countActing() == 0) {
                recordViolation(
                        "nobody holds the duty "
                                + FAULT_FREE_US / 2 / SECOND_US
                                + " s after the last fault");
            }
        }
        return new RunResult(violation, holderChanges, gapsUs, overlaps);
    }

    private long nowUs() {
        return events.nowUs();
    }

    private void scheduleAfter(long delayUs, Runnable action) {
        events.scheduleAfter(delayUs, action);
    }

    private void actPeriodically(CandidateNode candidate) {
        candidate.host.run(candidate::act);
        scheduleAfter(ACT_INTERVAL_US, () -> actPeriodically(candidate));
    }

    private void execute(long token) {
        if (fence.admits(DUTY, token)) {
            if (token < lastExecutedToken) {
                recordViolation("token " + token + " was executed after " + lastExecutedToken);
            }
            lastExecutedToken = token;
        }
    }

    private long countActing() {
        return candidates.values().stream()
                .filter(c -> c.candidate != null && c.candidate.mayAct(c.host.localUs()))
                .count();
    }

    private void checkState() {
        long acting = countActing();
        if (acting > 1) {
            overlaps++;
            if (shape.realDrift() <= shape.drift()) {
                recordViolation("two candidates may act");
            }
        }
        if (acting > 0) {
            noHolderSinceUs = -1;
        } else if (noHolderSinceUs < 0) {
            noHolderSinceUs = nowUs();
        }
    }

    private void recordViolation(String text) {
        if (violation == null) {
            violation = nowUs() / 1000 + " ms: " + text;
        }
    }

    private void send(String from, String to, DutyMessage message) {
        boolean lost =
                partitioned.contains(from) != partitioned.contains(to)
                        || mutedSenders.contains(from)
                        || unreliableNetwork && random.nextDouble() < 0.3;
        int copies = lost ? 0 : unreliableNetwork && random.nextInt(5) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            // An unreliable network delays some messages by up to a minute.
            long delayUs =
                    100
                            + random.nextLong(
                                    unreliableNetwork && random.nextInt(10) == 0
                                            ? 60 * SECOND_US
                                            : 2_000);
            scheduleAfter(delayUs, () -> deliver(from, to, message));
        }
    }

    private void deliver(String from, String to, DutyMessage message) {
        if (voters.containsKey(to)) {
            VoterNode node = voters.get(to);
            node.host.run(
                    () -> {
                        DutyMessage reply =
                                node.voter.onMessage(node.host.localUs(), from, message);
                        if (reply != null) {
                            send(to, from, reply);
                        }
                    });
        } else if (candidates.containsKey(to)) {
            CandidateNode node = candidates.get(to);
            node.host.run(() -> node.receive(from, message));
        }
    }

    private void injectFault() {
        List<String> names = new ArrayList<>(voters.keySet());
        names.addAll(candidates.keySet());
        names.sort(null);
        String name = names.get(random.nextInt(names.size()));
        long durationUs = (long) (10_000 * Math.pow(2_000, random.nextDouble()));
        switch (random.nextInt(8)) {
            case 0 -> crash(name);
            case 1 -> List.copyOf(voters.values()).forEach(VoterNode::start);
            case 7 -> voters.get("v" + random.nextInt(shape.voters())).startWithoutDisk();
            case 2 -> host(name).pause(durationUs);
            case 3 -> {
                partitioned.add(name);
                scheduleAfter(durationUs, () -> partitioned.remove(name));
            }
            case 4 -> {
                mutedSenders.add(name);
                scheduleAfter(durationUs, () -> mutedSenders.remove(name));
            }
            case 5 -> {
                unreliableNetwork = true;
                scheduleAfter(durationUs, () -> unreliableNetwork = false);
            }
            default ->
                    candidates.values().stream()
                            .filter(c -> c.candidate != null && c.candidate.term() > 0)
                            .findFirst()
                            .ifPresent(c -> giveUp(c));
        }
    }

    /**
     * Makes the holder give the duty up in favour of a random candidate and compete for it again.
     */
    private void giveUp(CandidateNode holder) {
        holder.host.run(
                () -> {
                    if (holder.candidate != null) {
                        holder.candidate.giveUp(
                                holder.host.localUs(), "c" + random.nextInt(shape.candidates()));
                        holder.candidate.campaign(holder.host.localUs());
                        holder.scheduleTimer();
                    }
                });
    }

    private Host host(String name) {
        return voters.containsKey(name) ? voters.get(name).host : candidates.get(name).host;
    }

    private void crash(String name) {
        if (voters.containsKey(name)) {
            voters.get(name).start();
        } else {
            CandidateNode node = candidates.get(name);
            node.candidate = null;
            scheduleAfter(
                    random.nextLong(10 * SECOND_US),
                    () -> {
                        if (node.candidate == null) {
                            node.start();
                        }
                    });
        }
    }
}
