package passhatch.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import passhatch.fleet.DropReason;
import passhatch.fleet.FleetSettings;
import passhatch.fleet.Incarnation;
import passhatch.fleet.Status;

/** The table of docs/membership.md, row by row, in simulated time. */
class HardCasesTest {

    private static final int MEMBERS = 10;
    private static final long SECOND = 1_000_000;

    private final List<String> failures = new ArrayList<>();
    private FleetSim sim = settled(FleetSim.fleet(7, MEMBERS));

    private FleetSim settled(FleetSim fleet) {
        fleet.startAll();
        assertTrue(
                fleet.until(() -> fleet.settled() && fleet.agree(), SECOND / 10, 20 * SECOND) >= 0);
        fleet.run(20 * SECOND);
        fleet.watcher(
                (us, observer, before, after) -> {
                    if (after.status() == Status.FAILED) {
                        failures.add(after.name());
                    }
                });
        return fleet;
    }

    private void awaitSettled(long mostSeconds) {
        assertTrue(
                sim.until(() -> sim.settled() && sim.agree(), SECOND / 10, mostSeconds * SECOND)
                        >= 0);
    }

    private void awaitAll(Status status, int of, long mostSeconds) {
        assertTrue(
                sim.until(() -> allSay(status, of), SECOND / 10, mostSeconds * SECOND) >= 0,
                () -> "n" + of + " is not " + status + " for all: " + sim.view(of == 0 ? 1 : 0));
    }

    private boolean allSay(Status status, int of) {
        for (int i = 0; i < sim.size(); i++) {
            if (i != of && sim.runs(i) && !sim.stopped(i) && sim.says(i, "n" + of) != status) {
                return false;
            }
        }
        return true;
    }

    @Test
    void oneWayLossBetweenTwoAccusesNobody() {
        sim.connected((a, b) -> !(a == 1 && b == 2));
        sim.run(300 * SECOND);
        assertEquals(List.of(), failures);
        assertTrue(sim.settled());
    }

    @Test
    void oneThatIsCutOffHasFailedForAllAndEndsAlone() {
        sim.connected((a, b) -> a != 4 && b != 4);
        awaitAll(Status.FAILED, 4, 10);
        long us =
                sim.until(
                        () -> sim.view(4).stream().filter(m -> m.status().present()).count() == 1,
                        SECOND,
                        300 * SECOND);
        assertTrue(us > 20 * SECOND, "it accuses late, as it distrusts itself");
        sim.connected((a, b) -> true);
        awaitSettled(30);
    }

    @Test
    void aPartitionInThreeHealsAfterHours() {
        sim.connected((a, b) -> a % 3 == b % 3);
        sim.run(3 * 3600 * SECOND);
        for (int i = 0; i < MEMBERS; i++) {
            int side = i % 3;
            assertEquals(
                    List.of(),
                    sim.view(i).stream()
                            .filter(
                                    m ->
                                            m.status().present()
                                                    != (Integer.parseInt(m.name().substring(1)) % 3
                                                            == side))
                            .toList());
        }
        sim.connected((a, b) -> true);
        awaitSettled(30);
    }

    @Test
    void theOlderOfTwoProcessesOfOneNameGivesWayUntilTheOtherEnds() {
        List<FleetSettings> all = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            all.add(FleetSim.settings(i == 4 ? "n3" : "n" + i, i, 5));
        }
        sim = new FleetSim(3, all);
        for (int i = 0; i < 4; i++) {
            sim.start(i);
        }
        sim.run(10 * SECOND);
        sim.setBack(3, 9);
        sim.start(4);
        sim.kill(4);
        sim.start(4); // its second start, so that it has the greater epoch
        sim.run(10 * SECOND);
        assertTrue(sim.givenWay(3) && !sim.givenWay(4), () -> String.join("\n", sim.notes()));
        assertTrue(
                sim.notes().stream()
                        .anyMatch(
                                n ->
                                        n.contains("process 3: another process is n3")
                                                && n.contains("gives way")),
                () -> String.join("\n", sim.notes()));
        Incarnation newer = sim.incarnation(4);
        assertEquals(Status.ALIVE, sim.says(0, "n3"));
        sim.kill(4);
        assertTrue(sim.until(() -> !sim.givenWay(3), SECOND, 60 * SECOND) >= 0);
        assertTrue(sim.incarnation(3).epoch() > newer.epoch());
        awaitSettled(30);
    }

    @Test
    void aMachineThatIsSetBackComesBackWithAGreaterEpoch() {
        for (int i = 0; i < 3; i++) {
            sim.kill(2);
            sim.start(2);
        }
        awaitSettled(20);
        Incarnation before = sim.incarnation(2);
        sim.kill(2);
        sim.setBack(2, 3);
        sim.start(2);
        assertTrue(sim.incarnation(2).compareTo(before) < 0);
        awaitSettled(30);
        assertTrue(sim.incarnation(2).epoch() > before.epoch());
        assertFalse(sim.givenWay(2));
    }

    @Test
    void oneThatIsBackWithinAProbeNeverFailed() {
        Incarnation before = sim.incarnation(6);
        sim.kill(6);
        sim.after(SECOND / 10, () -> sim.start(6));
        sim.run(20 * SECOND);
        assertEquals(List.of(), failures);
        assertTrue(sim.settled() && sim.incarnation(6).epoch() == before.epoch() + 1);
    }

    @Test
    void oneThatIsHeldForAMinuteAccusesNobodyWhenItIsBack() {
        sim.stop(5);
        awaitAll(Status.FAILED, 5, 10);
        sim.run(60 * SECOND);
        failures.clear();
        sim.cont(5);
        awaitSettled(10);
        assertEquals(List.of(), failures);
    }

    /** A suspect's time to refute does not run out while the observer's clock jumps. */
    @Test
    void aClockThatJumpsAccusesNobody() {
        sim = settled(FleetSim.fleet(8, 2));
        sim.connected((a, b) -> false);
        assertTrue(
                sim.until(() -> sim.says(0, "n1") == Status.SUSPECT, SECOND / 20, 20 * SECOND)
                        >= 0);
        sim.jump(0, 600 * SECOND);
        sim.connected((a, b) -> true);
        sim.run(20 * SECOND);
        sim.jump(0, -600 * SECOND);
        sim.run(700 * SECOND);
        assertEquals(List.of(), failures);
        assertTrue(sim.settled());
    }

    @Test
    void aFifthKilledAtOnceIsAllThatFails() {
        sim = settled(FleetSim.fleet(9, 50));
        for (int i = 0; i < 50; i += 5) {
            sim.kill(i);
        }
        awaitSettled(20);
        assertEquals(10, failures.stream().distinct().count());
    }

    /** It left, and it stays so although nobody gets an answer from it any more. */
    @Test
    void oneThatLeftHasNotFailed() {
        sim.leave(3);
        awaitAll(Status.LEFT, 3, 2);
        sim.run(60 * SECOND);
        assertEquals(List.of(), failures);
    }

    /**
     * Cut off before it died, it is remembered as alive on one side after the other has forgotten
     * it.
     */
    @Test
    void oneThatIsForgottenDoesNotComeBackAsAGhost() {
        sim.stop(1);
        sim.kill(9);
        sim.run(2 * 3600 * SECOND);
        assertNull(sim.says(0, "n9"), "it is shown no more");
        List<String> seen = new ArrayList<>();
        sim.watcher(
                (us, observer, before, after) -> {
                    if (after.name().equals("n9") && observer != 1) {
                        seen.add(observer + " " + after);
                    }
                });
        sim.cont(1);
        sim.run(60 * SECOND);
        assertEquals(List.of(), seen);
        assertEquals(Status.FAILED, sim.says(1, "n9"));
        sim.start(9);
        awaitSettled(20);
    }

    /**
     * Names as long as may be: the news still gets around, and no datagram is longer than allowed.
     */
    @Test
    void longNamesAndCutDatagramsSlowItDownOnly() {
        List<FleetSettings> all = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            all.add(
                    FleetSim.settings(
                            "a-machine-whose-name-is-as-long-as-may-be-in-" + (100 + i), i, 30));
        }
        sim = new FleetSim(4, all);
        sim.network(new FleetSim.Network(0.2, 0.2, 0.2, 200, 2_000));
        sim.startAll();
        awaitSettled(30);
        assertEquals(0, sim.dropped(0, DropReason.SIZE));
    }
}
