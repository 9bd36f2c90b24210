package passhatch.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.fleet.Incarnation;
import passhatch.fleet.MemberInfo;
import passhatch.fleet.Status;
import passhatch.lab.Seeds;

/**
 * Draws faults by seed, plays them on a simulated fleet, and checks what must hold: statements
 * about a member only get newer; nobody that no fault came near is taken for failed; and once all
 * is over, views agree.
 */
public final class FleetExplorer {

    /** Until views agree after the last fault, at most; the goal for a partition that heals. */
    public static final long AGREE_WITHIN_US = 30_000_000;

    private static final long FAULTS_FOR_MS = 120_000;
    private static final long SETTLE_US = 60_000_000;
    private static final int MOST_FAULTS = 8;
    private static final long STEP_US = 500_000;

    /**
     * What came of a run.
     *
     * @param broken what did not hold, or null
     * @param agreedUs how long after the last fault views agreed; -1 where they did not
     */
    public record Outcome(String broken, long agreedUs) {}

    private final int members;

    /** For fleets of this size. */
    public FleetExplorer(int members) {
        this.members = members;
    }

    /** The faults of a seed, in the order of their times. */
    public List<FleetFault> draw(long seed) {
        UniformRandomProvider random = new Seeds(seed).stream("faults");
        FleetFault.Kind[] kinds = FleetFault.Kind.values();
        List<FleetFault> faults = new ArrayList<>();
        for (int n = 1 + random.nextInt(MOST_FAULTS); n > 0; n--) {
            FleetFault.Kind kind = kinds[random.nextInt(kinds.length)];
            int target =
                    kind == FleetFault.Kind.PARTITION || kind == FleetFault.Kind.ONE_WAY
                            ? 2 + random.nextInt(2)
                            : random.nextInt(members);
            long value =
                    kind == FleetFault.Kind.WEATHER
                            ? random.nextInt(31)
                            : (long) (200 * Math.pow(300, random.nextDouble()));
            faults.add(new FleetFault(random.nextLong(FAULTS_FOR_MS), kind, target, value));
        }
        faults.sort(Comparator.comparingLong(FleetFault::atMs));
        return faults;
    }

    /** Plays faults; the seed is that of the processes and the network. */
    public Outcome play(long seed, List<FleetFault> faults) {
        FleetSim sim = FleetSim.fleet(seed, members);
        Checks checks = new Checks(faults);
        sim.watcher(checks::changed);
        sim.startAll();
        sim.run(SETTLE_US);
        Cuts cuts = new Cuts();
        sim.connected(cuts::passes);
        long endMs = 0;
        for (FleetFault fault : faults) {
            sim.after(fault.atMs() * 1000, () -> apply(sim, cuts, fault));
            endMs = Math.max(endMs, fault.endMs());
        }
        sim.run(endMs * 1000 + 1);
        // The weather clears last, as 30 % loss for good leaves news under way for good.
        sim.network(FleetSim.Network.FAIR);
        for (int i = 0; i < members; i++) {
            sim.cont(i);
            sim.start(i);
        }
        long us = sim.until(() -> sim.agree() && sim.settled(), STEP_US, AGREE_WITHIN_US);
        if (checks.broken == null && us < 0) {
            checks.broken =
                    "views do not agree " + AGREE_WITHIN_US / 1_000_000 + " s after the last fault";
        }
        return new Outcome(checks.broken, us);
    }

    private void apply(FleetSim sim, Cuts cuts, FleetFault fault) {
        long us = fault.value() * 1000;
        int target = fault.target();
        switch (fault.kind()) {
            case KILL -> {
                sim.kill(target);
                sim.after(us, () -> sim.start(target));
            }
            case LEAVE -> {
                sim.leave(target);
                sim.after(Math.max(us, 1_500_000), () -> sim.start(target));
            }
            case STOP -> {
                sim.stop(target);
                sim.after(us, () -> sim.cont(target));
            }
            case JUMP -> sim.jump(target, us);
            case SET_BACK -> {
                sim.kill(target);
                sim.setBack(target, 2);
                sim.after(us, () -> sim.start(target));
            }
            case PARTITION -> cuts.add(sim, us, (a, b) -> a % target == b % target);
            case ONE_WAY -> cuts.add(sim, us, (a, b) -> a % target != 0 || b % target == 0);
            case WEATHER ->
                    sim.network(new FleetSim.Network(fault.value() / 100.0, 0.1, 0.1, 200, 2_000));
        }
    }

    /** Cuts of the network that overlap: a datagram has to pass all. */
    private static final class Cuts {
        private final Set<BiPredicate<Integer, Integer>> cuts = new HashSet<>();

        void add(FleetSim sim, long us, BiPredicate<Integer, Integer> cut) {
            cuts.add(cut);
            sim.after(us, () -> cuts.remove(cut));
        }

        boolean passes(int from, int to) {
            return cuts.stream().allMatch(c -> c.test(from, to));
        }
    }

    /** What must hold at every moment. */
    private final class Checks {
        private final Set<String> touched;
        private final boolean networkCut;
        private final Map<String, Incarnation> newest = new HashMap<>();
        private final Map<String, Status> last = new HashMap<>();
        private String broken;

        Checks(List<FleetFault> faults) {
            touched =
                    faults.stream()
                            .filter(f -> !f.ofNetwork())
                            .map(f -> "n" + f.target())
                            .collect(Collectors.toSet());
            networkCut = faults.stream().anyMatch(FleetFault::ofNetwork);
        }

        void changed(long us, int observer, Status before, MemberInfo after) {
            // A process that starts anew knows nothing at first.
            String key = observer + " of " + after.name();
            Incarnation known = before == null ? null : newest.get(key);
            if (known != null) {
                int newer = after.incarnation().compareTo(known);
                if (newer < 0
                        || newer == 0
                                && after.status().compareTo(last.get(key)) <= 0
                                && !after.name().equals("n" + observer)) {
                    fail(
                            us,
                            key
                                    + " went back from "
                                    + last.get(key)
                                    + " "
                                    + known
                                    + " to "
                                    + after.status()
                                    + " "
                                    + after.incarnation());
                }
            }
            newest.put(key, after.incarnation());
            last.put(key, after.status());
            if (after.status() == Status.FAILED && !networkCut && !touched.contains(after.name())) {
                fail(us, key + ": failed, though nothing happened to it");
            }
        }

        private void fail(long us, String what) {
            if (broken == null) {
                broken = us / 1000 + " ms: " + what;
            }
        }
    }

    /**
     * Leaves faults out as long as the run is still bad; what is left is bad without any of them.
     */
    public List<FleetFault> shrink(long seed, List<FleetFault> faults) {
        List<FleetFault> fewest = new ArrayList<>(faults);
        for (int i = fewest.size() - 1; i >= 0; i--) {
            List<FleetFault> fewer = new ArrayList<>(fewest);
            fewer.remove(i);
            if (play(seed, fewer).broken() != null) {
                fewest = fewer;
            }
        }
        return fewest;
    }
}
