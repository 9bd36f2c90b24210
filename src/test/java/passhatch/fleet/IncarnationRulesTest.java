package passhatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Runs the rules for incarnations over every order of a few steps with three members, breadth
 * first. Two members suspect the third, which restarts, restarts with an epoch that is in use, or
 * leaves; any earlier update is received by any member, also late and repeatedly.
 */
class IncarnationRulesTest {

    private static final int DEPTH = 6;
    private static final int MAX_UPDATES = 6;
    private static final String SUBJECT = "c";
    private static final long HOUR_US = 3_600_000_000L;

    /** Members a and b, and member c, which all updates are about. */
    private static final class World {
        private final List<Process> processes = new ArrayList<>();
        private final Set<MemberUpdate> updates = new LinkedHashSet<>();
        private final Set<Incarnation> claimedIncarnations = new HashSet<>();
        private long nowUs;
        private long epoch = 2;

        /** The least favourable draw: each later run has a smaller run id. */
        private int lastRunId = Integer.MAX_VALUE;

        World() {
            for (String name : List.of("a", "b", SUBJECT)) {
                processes.add(new Process(name, this));
            }
            exchangeAll();
        }

        Process subject() {
            return processes.get(2);
        }

        void startSubject(long newEpoch) {
            epoch = Math.max(epoch, newEpoch);
            processes.set(2, new Process(SUBJECT, this, newEpoch));
        }

        void recordUpdates() {
            for (Process process : processes) {
                Member member = process.view.get(SUBJECT);
                if (member != null) {
                    updates.add(
                            new MemberUpdate(
                                    member.status(),
                                    SUBJECT,
                                    member.lastUpdate().incarnation(),
                                    -1,
                                    "",
                                    "",
                                    List.of()));
                }
            }
            claimedIncarnations.add(subject().self.incarnation());
        }

        void exchangeAll() {
            for (Process from : processes) {
                for (Process to : processes) {
                    if (from != to) {
                        to.apply(nowUs, from.subjectUpdate());
                    }
                }
            }
            recordUpdates();
        }

        String signature() {
            StringBuilder text = new StringBuilder();
            processes.forEach(
                    p ->
                            text.append(p.subjectUpdate())
                                    .append(p.self.incarnation())
                                    .append(p.self.superseded())
                                    .append(p.self.leaving()));
            return text.append(updates).append(epoch).toString();
        }
    }

    private static final class Process implements FleetActions {
        private final World world;
        private final LocalMember self;
        private final View view = new View(3);
        private final MemberStates memberStates;

        Process(String name, World world) {
            this(name, world, 2);
        }

        Process(String name, World world, long epoch) {
            this.world = world;
            FleetSettings settings =
                    new FleetSettings("f", name, "", "", -1, 3, 500_000, 1 << 20, HOUR_US);
            self = new LocalMember(settings, epoch, --world.lastRunId);
            Outbox outbox = new Outbox(settings, self::currentUpdate, view, this);
            memberStates =
                    new MemberStates(
                            settings, self, view, outbox, new LocalHealth(), this, m -> {});
            view.add(self.currentUpdate(), world.nowUs);
        }

        MemberUpdate subjectUpdate() {
            Member member = view.get(SUBJECT);
            return member == null ? null : member.lastUpdate();
        }

        void apply(long nowUs, MemberUpdate update) {
            if (update != null) {
                memberStates.apply(nowUs, update);
            }
        }

        void suspect() {
            Member member = view.get(SUBJECT);
            if (member != null) {
                memberStates.suspect(world.nowUs, member);
            }
        }

        @Override
        public void send(int address, byte[] datagram) {}

        @Override
        public boolean persistEpoch(long epoch) {
            world.epoch = Math.max(world.epoch, epoch);
            return true;
        }

        @Override
        public void memberChanged(Status before, MemberInfo after) {}

        @Override
        public void warn(String text) {}
    }

    private static final int STEPS = 7 + 3 * MAX_UPDATES;

    /** Takes a step; returns false if the step is not possible in this state. */
    private static boolean step(World world, int step) {
        world.nowUs += HOUR_US / 3_600_000;
        switch (step) {
            case 0, 1 -> world.processes.get(step).suspect();
            case 2, 3 -> {
                world.nowUs += HOUR_US;
                world.processes.get(step - 2).memberStates.expireSuspicions(world.nowUs);
            }
            case 4 -> world.startSubject(world.epoch + 1);
            // Restarts with the epoch that is in use already.
            case 5 -> world.startSubject(world.epoch);
            case 6 -> {
                if (world.subject().self.superseded()) {
                    return false;
                }
                world.subject().self.leave();
                Member own = world.subject().view.get(SUBJECT);
                world.subject().view.change(own, world.subject().self.currentUpdate(), world.nowUs);
            }
            default -> {
                int updateIndex = (step - 7) / 3;
                if (updateIndex >= world.updates.size()) {
                    return false;
                }
                world.processes
                        .get((step - 7) % 3)
                        .apply(world.nowUs, new ArrayList<>(world.updates).get(updateIndex));
            }
        }
        world.recordUpdates();
        return true;
    }

    private static World replay(int[] path) {
        World world = new World();
        for (int step : path) {
            if (!step(world, step)) {
                return null;
            }
        }
        return world;
    }

    private static void check(int[] path, World world, List<MemberUpdate> before) {
        for (int i = 0; i < 2; i++) {
            MemberUpdate now = world.processes.get(i).subjectUpdate();
            String where =
                    Arrays.toString(path)
                            + ": "
                            + world.processes.get(i).self.name()
                            + " says "
                            + now;
            assertTrue(
                    now.equals(before.get(i))
                            || now.overrides(before.get(i))
                            || now.status() == Status.SUSPECT
                                    && now.incarnation().equals(before.get(i).incarnation()),
                    () -> where + " after " + before);
            assertTrue(
                    world.claimedIncarnations.contains(now.incarnation()),
                    () -> where + ", which no process used");
        }
    }

    /**
     * Once all members exchange their updates again, all agree, and agree with the subject itself.
     */
    private static void checkConvergence(int[] path, World world) {
        for (int round = 0; round < 8; round++) {
            world.exchangeAll();
            if (world.subject().self.superseded() || world.subject().self.leaving()) {
                // An older run does not answer for the newer one that is known, and a member that
                // has left does not answer.
                world.processes.get(0).suspect();
                world.nowUs += HOUR_US;
                world.processes.get(0).memberStates.expireSuspicions(world.nowUs);
                world.processes.get(1).memberStates.expireSuspicions(world.nowUs);
            }
        }
        if (world.subject().self.leaving()) {
            // Restarted with an old epoch and left before it received an update of its later run,
            // so it cannot refute what is known of that run.
            MemberUpdate known = world.processes.get(0).subjectUpdate();
            assertEquals(
                    known, world.processes.get(1).subjectUpdate(), () -> Arrays.toString(path));
            assertTrue(!known.status().present(), () -> Arrays.toString(path));
            return;
        }
        MemberUpdate ownUpdate = world.subject().self.currentUpdate();
        for (Process process : world.processes) {
            assertEquals(
                    ownUpdate.incarnation(),
                    process.subjectUpdate().incarnation(),
                    () -> Arrays.toString(path));
            assertEquals(
                    ownUpdate.status(),
                    process.subjectUpdate().status(),
                    () -> Arrays.toString(path));
        }
        assertTrue(!world.subject().self.superseded(), () -> Arrays.toString(path));
    }

    @Test
    void rulesHoldForEveryOrderOfSteps() {
        Deque<int[]> open = new ArrayDeque<>(List.of(new int[0]));
        Set<String> seen = new HashSet<>();
        while (!open.isEmpty()) {
            int[] path = open.poll();
            for (int step = 0; step < STEPS; step++) {
                World world = replay(path);
                List<MemberUpdate> before =
                        List.of(
                                world.processes.get(0).subjectUpdate(),
                                world.processes.get(1).subjectUpdate());
                int[] longer = Arrays.copyOf(path, path.length + 1);
                longer[path.length] = step;
                if (step(world, step)) {
                    check(longer, world, before);
                    if (seen.add(world.signature())) {
                        checkConvergence(longer, world);
                        if (longer.length < DEPTH) {
                            open.add(longer);
                        }
                    }
                }
            }
        }
        System.out.println("incarnation rules: " + seen.size() + " states to depth " + DEPTH);
        assertTrue(
                seen.size() > 10_000,
                "too few states were reached, so the steps cannot have worked");
    }
}
