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
 * Every order of a few steps with three members, breadth first over the real rules: two accuse, a
 * third is started anew, set back, or leaves, and any statement ever made arrives anywhere, also
 * late and again.
 */
class IncarnationRulesTest {

    private static final int DEPTH = 6;
    private static final int MOST_STATEMENTS = 6;
    private static final String SUBJECT = "c";
    private static final long HOUR_US = 3_600_000_000L;

    /** Members a and b, and c of whom all is said. */
    private static final class World {
        private final List<Process> processes = new ArrayList<>();
        private final Set<Fact> said = new LinkedHashSet<>();
        private final Set<Incarnation> claimed = new HashSet<>();
        private long nowUs;
        private long epoch = 2;

        /** The worst that chance can do: each later run draws a lesser number. */
        private int lives = Integer.MAX_VALUE;

        World() {
            for (String name : List.of("a", "b", SUBJECT)) {
                processes.add(new Process(name, this));
            }
            tellAll();
        }

        Process subject() {
            return processes.get(2);
        }

        void startSubject(long newEpoch) {
            epoch = Math.max(epoch, newEpoch);
            processes.set(2, new Process(SUBJECT, this, newEpoch));
        }

        void note() {
            for (Process process : processes) {
                Member member = process.view.get(SUBJECT);
                if (member != null) {
                    said.add(
                            new Fact(
                                    member.status(),
                                    SUBJECT,
                                    member.fact().incarnation(),
                                    -1,
                                    "",
                                    "",
                                    List.of()));
                }
            }
            claimed.add(subject().self.incarnation());
        }

        void tellAll() {
            for (Process from : processes) {
                for (Process to : processes) {
                    if (from != to) {
                        to.hear(nowUs, from.about());
                    }
                }
            }
            note();
        }

        String signature() {
            StringBuilder text = new StringBuilder();
            processes.forEach(
                    p ->
                            text.append(p.about())
                                    .append(p.self.incarnation())
                                    .append(p.self.givenWay())
                                    .append(p.self.leaving()));
            return text.append(said).append(epoch).toString();
        }
    }

    private static final class Process implements FleetActions {
        private final World world;
        private final Self self;
        private final View view = new View(3);
        private final Beliefs beliefs;

        Process(String name, World world) {
            this(name, world, 2);
        }

        Process(String name, World world, long epoch) {
            this.world = world;
            FleetSettings settings =
                    new FleetSettings("f", name, "", "", -1, 3, 500_000, 1 << 20, HOUR_US);
            self = new Self(settings, epoch, --world.lives);
            Outbox outbox = new Outbox(settings, self::fact, view, this);
            beliefs = new Beliefs(settings, self, view, outbox, new LocalHealth(), this, m -> {});
            view.add(self.fact(), world.nowUs);
        }

        Fact about() {
            Member member = view.get(SUBJECT);
            return member == null ? null : member.fact();
        }

        void hear(long nowUs, Fact fact) {
            if (fact != null) {
                beliefs.hear(nowUs, fact);
            }
        }

        void accuse() {
            Member member = view.get(SUBJECT);
            if (member != null) {
                beliefs.accuse(world.nowUs, member);
            }
        }

        @Override
        public void send(int address, byte[] datagram) {}

        @Override
        public boolean claim(long epoch) {
            world.epoch = Math.max(world.epoch, epoch);
            return true;
        }

        @Override
        public void changed(Status before, MemberInfo after) {}

        @Override
        public void note(String text) {}
    }

    private static final int STEPS = 7 + 3 * MOST_STATEMENTS;

    /** Takes a step; false where it does not exist here. */
    private static boolean step(World world, int step) {
        world.nowUs += HOUR_US / 3_600_000;
        switch (step) {
            case 0, 1 -> world.processes.get(step).accuse();
            case 2, 3 -> {
                world.nowUs += HOUR_US;
                world.processes.get(step - 2).beliefs.expire(world.nowUs);
            }
            case 4 -> world.startSubject(world.epoch + 1);
            // Set back to the epoch that is in use already.
            case 5 -> world.startSubject(world.epoch);
            case 6 -> {
                if (world.subject().self.givenWay()) {
                    return false;
                }
                world.subject().self.leave();
                Member own = world.subject().view.get(SUBJECT);
                world.subject().view.change(own, world.subject().self.fact(), world.nowUs);
            }
            default -> {
                int statement = (step - 7) / 3;
                if (statement >= world.said.size()) {
                    return false;
                }
                world.processes
                        .get((step - 7) % 3)
                        .hear(world.nowUs, new ArrayList<>(world.said).get(statement));
            }
        }
        world.note();
        return true;
    }

    private static World play(int[] path) {
        World world = new World();
        for (int step : path) {
            if (!step(world, step)) {
                return null;
            }
        }
        return world;
    }

    private static void check(int[] path, World world, List<Fact> before) {
        for (int i = 0; i < 2; i++) {
            Fact now = world.processes.get(i).about();
            String where =
                    Arrays.toString(path)
                            + ": "
                            + world.processes.get(i).self.name()
                            + " says "
                            + now;
            assertTrue(
                    now.equals(before.get(i))
                            || now.overrules(before.get(i))
                            || now.status() == Status.SUSPECT
                                    && now.incarnation().equals(before.get(i).incarnation()),
                    () -> where + " after " + before);
            assertTrue(
                    world.claimed.contains(now.incarnation()),
                    () -> where + ", which nobody claimed");
        }
    }

    /** Once all talk to each other again, all say the same, and what the member itself says. */
    private static void settle(int[] path, World world) {
        for (int round = 0; round < 8; round++) {
            world.tellAll();
            if (world.subject().self.givenWay() || world.subject().self.leaving()) {
                // An older run than is known does not answer for the newer one; one that has left
                // does not.
                world.processes.get(0).accuse();
                world.nowUs += HOUR_US;
                world.processes.get(0).beliefs.expire(world.nowUs);
                world.processes.get(1).beliefs.expire(world.nowUs);
            }
        }
        if (world.subject().self.leaving()) {
            // Set back and gone before it heard of its later run, it cannot speak for that one.
            Fact told = world.processes.get(0).about();
            assertEquals(told, world.processes.get(1).about(), () -> Arrays.toString(path));
            assertTrue(!told.status().present(), () -> Arrays.toString(path));
            return;
        }
        Fact own = world.subject().self.fact();
        for (Process process : world.processes) {
            assertEquals(
                    own.incarnation(), process.about().incarnation(), () -> Arrays.toString(path));
            assertEquals(own.status(), process.about().status(), () -> Arrays.toString(path));
        }
        assertTrue(!world.subject().self.givenWay(), () -> Arrays.toString(path));
    }

    @Test
    void noOrderOfAFewStepsBreaksTheRules() {
        Deque<int[]> open = new ArrayDeque<>(List.of(new int[0]));
        Set<String> seen = new HashSet<>();
        while (!open.isEmpty()) {
            int[] path = open.poll();
            for (int step = 0; step < STEPS; step++) {
                World world = play(path);
                List<Fact> before =
                        List.of(world.processes.get(0).about(), world.processes.get(1).about());
                int[] longer = Arrays.copyOf(path, path.length + 1);
                longer[path.length] = step;
                if (step(world, step)) {
                    check(longer, world, before);
                    if (seen.add(world.signature())) {
                        settle(longer, world);
                        if (longer.length < DEPTH) {
                            open.add(longer);
                        }
                    }
                }
            }
        }
        System.out.println("incarnation rules: " + seen.size() + " states to depth " + DEPTH);
        assertTrue(
                seen.size() > 10_000, "so few states were found that the steps cannot have worked");
    }
}
