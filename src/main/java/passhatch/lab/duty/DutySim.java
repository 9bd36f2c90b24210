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
 * Voters and candidates of one duty in simulated time, each with a clock of its own pace, with
 * faults by seed. Checked at every event: at most one acts; terms grow; nothing with an older token
 * is carried out after something with a newer one.
 */
public final class DutySim {

    private static final String DUTY = "release";
    private static final long SECOND = 1_000_000;
    private static final long LEASE_US = 4 * SECOND;
    private static final long RUN_US = 300 * SECOND;

    /** The last part of a run is without faults. */
    private static final long CALM_US = 60 * SECOND;

    private static final long ACT_EVERY_US = 100_000;
    private static final long DEVICE_DELAY_US = 50_000;

    /**
     * What is drawn for a run.
     *
     * @param voters how many
     * @param candidates how many
     * @param faults so many crashes, holds, cuts and gifts on average
     * @param drift that the configuration allows
     * @param realDrift that clocks have at most; more than is allowed breaks the promise that one
     *     acts
     */
    public record Shape(int voters, int candidates, int faults, double drift, double realDrift) {}

    /**
     * What came of a run.
     *
     * @param broken what did not hold, or null
     * @param changes of the holder
     * @param gapsUs how long the duty had no holder each time, in microseconds
     * @param doubles moments at which two could act; 0 as long as clocks keep the bound
     */
    public record Outcome(String broken, int changes, List<Long> gapsUs, int doubles) {}

    /** A process with its clock. */
    private final class Host {
        private final double pace;
        private boolean held;
        private final List<Runnable> waiting = new ArrayList<>();

        Host(double pace) {
            this.pace = pace;
        }

        long localUs() {
            return (long) (nowUs() * pace);
        }

        /** Has something done here, once it is not held. */
        void run(Runnable what) {
            if (held) {
                waiting.add(what);
            } else {
                what.run();
            }
        }

        void hold(long us) {
            held = true;
            after(
                    us,
                    () -> {
                        held = false;
                        List<Runnable> all = new ArrayList<>(waiting);
                        waiting.clear();
                        all.forEach(Runnable::run);
                    });
        }
    }

    private final class VoterNode {
        private final String name;
        private final Host host;
        private final Map<String, Promise> disk = new HashMap<>();
        private Voter voter;

        VoterNode(String name, Host host) {
            this.name = name;
            this.host = host;
        }

        /** Asks the others what it has forgotten, as long as it does not vote. */
        void recall() {
            Voter then = voter;
            if (!then.isVoting()) {
                settings.voters().stream()
                        .filter(v -> voters.get(v) != this)
                        .forEach(v -> send(name, v, then.recall()));
                after(
                        SECOND / 2,
                        () ->
                                host.run(
                                        () -> {
                                            if (voter == then) {
                                                recall();
                                            }
                                        }));
            }
        }

        void start() {
            voter =
                    parts.voter(
                            settings,
                            host.localUs(),
                            disk.values(),
                            promise -> {
                                disk.put(promise.duty(), promise);
                                return true;
                            });
            recall();
        }

        /** Starts with a disk that has nothing; only while all others remember. */
        void startWithoutDisk() {
            if (voters.values().stream().allMatch(v -> v.voter.isVoting())) {
                disk.clear();
                start();
            }
        }
    }

    private final class CandidateNode implements DutyActions {
        private final int number;
        private final Host host;
        private Candidate candidate;
        private int life;
        private long plannedUs;

        CandidateNode(int number, Host host) {
            this.number = number;
            this.host = host;
        }

        String name() {
            return "c" + number;
        }

        void start() {
            life++;
            candidate =
                    parts.candidate(
                            settings,
                            DUTY,
                            name() + ":" + life,
                            new SplittableRandom(seeds.stream(name() + life).nextLong()),
                            this);
            candidate.campaign(host.localUs());
            plan();
        }

        void plan() {
            if (candidate == null || candidate.wakeAtUs() == Long.MAX_VALUE) {
                return;
            }
            long at =
                    Math.max(nowUs() + 1, (long) Math.ceil((candidate.wakeAtUs() + 1) / host.pace));
            if (plannedUs <= nowUs() || at < plannedUs) {
                plannedUs = at;
                Candidate then = candidate;
                events.scheduleAt(
                        at,
                        () ->
                                host.run(
                                        () -> {
                                            if (candidate == then) {
                                                then.timer(host.localUs());
                                                plan();
                                            }
                                        }));
            }
        }

        void hear(String from, DutyMessage message) {
            if (candidate != null) {
                candidate.onMessage(host.localUs(), from, message);
                plan();
            }
        }

        @Override
        public void send(String to, DutyMessage message) {
            DutySim.this.send(name(), to, message);
        }

        @Override
        public void granted(long term) {
            if (term <= greatestTerm) {
                fail("term " + term + " was granted after " + greatestTerm);
            }
            greatestTerm = Math.max(greatestTerm, term);
            changes++;
            if (freeSinceUs >= 0) {
                gapsUs.add(nowUs() - freeSinceUs);
            }
        }

        @Override
        public void lost(long term) {}

        /** Checks and sends off an act, which arrives later; it may be held between the two. */
        void act() {
            if (candidate != null && candidate.mayAct(host.localUs())) {
                long token = candidate.term();
                after(1 + random.nextLong(DEVICE_DELAY_US), () -> carryOut(token));
            }
        }
    }

    private final Parts parts;
    private final Shape shape;
    private final Seeds seeds;
    private final UniformRandomProvider random;
    private final DutySettings settings;
    private final Map<String, VoterNode> voters = new HashMap<>();
    private final Map<String, CandidateNode> candidates = new HashMap<>();
    private final EventQueue<Runnable> events = new EventQueue<>(SECOND);
    private final Set<String> cutOff = new HashSet<>();
    private final Set<String> mute = new HashSet<>();
    private final Fence fence = new Fence(Map.of(), (duty, token) -> true);
    private final List<Long> gapsUs = new ArrayList<>();
    private boolean badNetwork;
    private long greatestTerm;
    private long carriedOut;
    private long freeSinceUs = -1;
    private int changes;
    private int doubles;
    private String broken;

    private DutySim(Parts parts, Shape shape, long seed) {
        this.parts = parts;
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

    /** Plays a seed. */
    public static Outcome play(Parts parts, Shape shape, long seed) {
        return new DutySim(parts, shape, seed).run();
    }

    private Outcome run() {
        voters.values()
                .forEach(
                        v -> {
                            v.start();
                            v.voter.initialize();
                        });
        candidates.values().forEach(CandidateNode::start);
        for (int i = random.nextInt(2 * shape.faults() + 1); i > 0; i--) {
            after(random.nextLong(RUN_US - CALM_US), this::fault);
        }
        for (CandidateNode candidate : candidates.values()) {
            after(random.nextLong(ACT_EVERY_US), () -> actOn(candidate));
        }
        long end = nowUs() + RUN_US;
        while (broken == null) {
            Runnable event = events.pollUntil(end);
            if (event == null) {
                break;
            }
            if (end - nowUs() < CALM_US / 2) {
                badNetwork = false;
            }
            event.run();
            look();
        }
        if (broken == null) {
            events.advanceTo(end);
            if (acting() == 0) {
                fail("nobody holds the duty " + CALM_US / 2 / SECOND + " s after the last fault");
            }
        }
        return new Outcome(broken, changes, gapsUs, doubles);
    }

    private long nowUs() {
        return events.nowUs();
    }

    private void after(long us, Runnable action) {
        events.scheduleAfter(us, action);
    }

    private void actOn(CandidateNode candidate) {
        candidate.host.run(candidate::act);
        after(ACT_EVERY_US, () -> actOn(candidate));
    }

    private void carryOut(long token) {
        if (fence.admits(DUTY, token)) {
            if (token < carriedOut) {
                fail("token " + token + " was carried out after " + carriedOut);
            }
            carriedOut = token;
        }
    }

    private long acting() {
        return candidates.values().stream()
                .filter(c -> c.candidate != null && c.candidate.mayAct(c.host.localUs()))
                .count();
    }

    private void look() {
        long acting = acting();
        if (acting > 1) {
            doubles++;
            if (shape.realDrift() <= shape.drift()) {
                fail("two may act");
            }
        }
        if (acting > 0) {
            freeSinceUs = -1;
        } else if (freeSinceUs < 0) {
            freeSinceUs = nowUs();
        }
    }

    private void fail(String what) {
        if (broken == null) {
            broken = nowUs() / 1000 + " ms: " + what;
        }
    }

    private void send(String from, String to, DutyMessage message) {
        boolean lost =
                cutOff.contains(from) != cutOff.contains(to)
                        || mute.contains(from)
                        || badNetwork && random.nextDouble() < 0.3;
        int copies = lost ? 0 : badNetwork && random.nextInt(5) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            // Some are late by up to a minute.
            long us =
                    100
                            + random.nextLong(
                                    badNetwork && random.nextInt(10) == 0 ? 60 * SECOND : 2_000);
            after(us, () -> arrive(from, to, message));
        }
    }

    private void arrive(String from, String to, DutyMessage message) {
        if (voters.containsKey(to)) {
            VoterNode node = voters.get(to);
            node.host.run(
                    () -> {
                        DutyMessage answer =
                                node.voter.onMessage(node.host.localUs(), from, message);
                        if (answer != null) {
                            send(to, from, answer);
                        }
                    });
        } else if (candidates.containsKey(to)) {
            CandidateNode node = candidates.get(to);
            node.host.run(() -> node.hear(from, message));
        }
    }

    private void fault() {
        List<String> names = new ArrayList<>(voters.keySet());
        names.addAll(candidates.keySet());
        names.sort(null);
        String name = names.get(random.nextInt(names.size()));
        long us = (long) (10_000 * Math.pow(2_000, random.nextDouble()));
        switch (random.nextInt(8)) {
            case 0 -> crash(name);
            case 1 -> List.copyOf(voters.values()).forEach(VoterNode::start);
            case 7 -> voters.get("v" + random.nextInt(shape.voters())).startWithoutDisk();
            case 2 -> host(name).hold(us);
            case 3 -> {
                cutOff.add(name);
                after(us, () -> cutOff.remove(name));
            }
            case 4 -> {
                mute.add(name);
                after(us, () -> mute.remove(name));
            }
            case 5 -> {
                badNetwork = true;
                after(us, () -> badNetwork = false);
            }
            default ->
                    candidates.values().stream()
                            .filter(c -> c.candidate != null && c.candidate.term() > 0)
                            .findFirst()
                            .ifPresent(c -> giveUp(c));
        }
    }

    /** Gives the duty to another and wants it again later. */
    private void giveUp(CandidateNode holder) {
        holder.host.run(
                () -> {
                    if (holder.candidate != null) {
                        holder.candidate.giveUp(
                                holder.host.localUs(), "c" + random.nextInt(shape.candidates()));
                        holder.candidate.campaign(holder.host.localUs());
                        holder.plan();
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
            after(
                    random.nextLong(10 * SECOND),
                    () -> {
                        if (node.candidate == null) {
                            node.start();
                        }
                    });
        }
    }
}
