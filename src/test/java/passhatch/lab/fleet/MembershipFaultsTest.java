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

/** Tests each row of the table in docs/membership.md, in simulated time. */
class MembershipFaultsTest {

    private static final int MEMBERS = 10;
    private static final long SECOND_US = 1_000_000;

    private final List<String> failures = new ArrayList<>();
    private FleetSim sim = converged(FleetSim.fleet(7, MEMBERS));

    private FleetSim converged(FleetSim fleet) {
        fleet.startAll();
        assertTrue(
                fleet.runUntil(
                                () -> fleet.viewsAreAccurate() && fleet.viewsAgree(),
                                SECOND_US / 10,
                                20 * SECOND_US)
                        >= 0);
        fleet.runFor(20 * SECOND_US);
        fleet.setStatusListener(
                (atUs, observer, before, after) -> {
                    if (after.status() == Status.FAILED) {
                        failures.add(after.name());
                    }
                });
        return fleet;
    }

    private void awaitConvergence(long timeoutSeconds) {
        assertTrue(
                sim.runUntil(
                                () -> sim.viewsAreAccurate() && sim.viewsAgree(),
                                SECOND_US / 10,
                                timeoutSeconds * SECOND_US)
                        >= 0);
    }

    private void awaitStatusInAllViews(Status status, int member, long timeoutSeconds) {
        assertTrue(
                sim.runUntil(
                                () -> hasStatusInAllViews(status, member),
                                SECOND_US / 10,
                                timeoutSeconds * SECOND_US)
                        >= 0,
                () ->
                        "n"
                                + member
                                + " is not "
                                + status
                                + " for all: "
                                + sim.view(member == 0 ? 1 : 0));
    }

    private boolean hasStatusInAllViews(Status status, int member) {
        for (int i = 0; i < sim.size(); i++) {
            if (i != member
                    && sim.isRunning(i)
                    && !sim.isStopped(i)
                    && sim.statusInView(i, "n" + member) != status) {
                return false;
            }
        }
        return true;
    }

    @Test
    void oneWayLossBetweenTwoMembersCausesNoFailures() {
        sim.setConnectivity((a, b) -> !(a == 1 && b == 2));
        sim.runFor(300 * SECOND_US);
        assertEquals(List.of(), failures);
        assertTrue(sim.viewsAreAccurate());
    }

    @Test
    void anIsolatedMemberIsFailedForAllOthersAndEndsUpAlone() {
        sim.setConnectivity((a, b) -> a != 4 && b != 4);
        awaitStatusInAllViews(Status.FAILED, 4, 10);
        long durationUs =
                sim.runUntil(
                        () -> sim.view(4).stream().filter(m -> m.status().present()).count() == 1,
                        SECOND_US,
                        300 * SECOND_US);
        assertTrue(
                durationUs > 20 * SECOND_US,
                "degraded local health delays the failures it declares");
        sim.setConnectivity((a, b) -> true);
        awaitConvergence(30);
    }

    @Test
    void aThreeWayPartitionHealsAfterHours() {
        sim.setConnectivity((a, b) -> a % 3 == b % 3);
        sim.runFor(3 * 3600 * SECOND_US);
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
        sim.setConnectivity((a, b) -> true);
        awaitConvergence(30);
    }

    @Test
    void theOlderOfTwoProcessesWithOneNameIsSupersededUntilTheOtherEnds() {
        List<FleetSettings> settings = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            settings.add(FleetSim.defaultSettings(i == 4 ? "n3" : "n" + i, i, 5));
        }
        sim = new FleetSim(3, settings);
        for (int i = 0; i < 4; i++) {
            sim.start(i);
        }
        sim.runFor(10 * SECOND_US);
        sim.rollBackDisk(3, 9);
        sim.start(4);
        sim.kill(4);
        sim.start(4); // its second start, so that it has the greater epoch
        sim.runFor(10 * SECOND_US);
        assertTrue(
                sim.isSuperseded(3) && !sim.isSuperseded(4),
                () -> String.join("\n", sim.warnings()));
        assertTrue(
                sim.warnings().stream()
                        .anyMatch(
                                warning ->
                                        warning.contains("process 3: another process is n3")
                                                && warning.contains("gives way")),
                () -> String.join("\n", sim.warnings()));
        Incarnation newer = sim.incarnation(4);
        assertEquals(Status.ALIVE, sim.statusInView(0, "n3"));
        sim.kill(4);
        assertTrue(sim.runUntil(() -> !sim.isSuperseded(3), SECOND_US, 60 * SECOND_US) >= 0);
        assertTrue(sim.incarnation(3).epoch() > newer.epoch());
        awaitConvergence(30);
    }

    @Test
    void aMachineWhoseDiskIsRolledBackReturnsWithAHigherEpoch() {
        for (int i = 0; i < 3; i++) {
            sim.kill(2);
            sim.start(2);
        }
        awaitConvergence(20);
        Incarnation before = sim.incarnation(2);
        sim.kill(2);
        sim.rollBackDisk(2, 3);
        sim.start(2);
        assertTrue(sim.incarnation(2).compareTo(before) < 0);
        awaitConvergence(30);
        assertTrue(sim.incarnation(2).epoch() > before.epoch());
        assertFalse(sim.isSuperseded(2));
    }

    @Test
    void aMemberThatRestartsWithinAProbePeriodIsNotFailed() {
        Incarnation before = sim.incarnation(6);
        sim.kill(6);
        sim.scheduleAfter(SECOND_US / 10, () -> sim.start(6));
        sim.runFor(20 * SECOND_US);
        assertEquals(List.of(), failures);
        assertTrue(sim.viewsAreAccurate() && sim.incarnation(6).epoch() == before.epoch() + 1);
    }

    @Test
    void aProcessStoppedForAMinuteCausesNoFailuresWhenItContinues() {
        sim.stop(5);
        awaitStatusInAllViews(Status.FAILED, 5, 10);
        sim.runFor(60 * SECOND_US);
        failures.clear();
        sim.resume(5);
        awaitConvergence(10);
        assertEquals(List.of(), failures);
    }

    /** A jump of the observer's clock must not use up a suspect's time to refute. */
    @Test
    void aClockJumpCausesNoFailures() {
        sim = converged(FleetSim.fleet(8, 2));
        sim.setConnectivity((a, b) -> false);
        assertTrue(
                sim.runUntil(
                                () -> sim.statusInView(0, "n1") == Status.SUSPECT,
                                SECOND_US / 20,
                                20 * SECOND_US)
                        >= 0);
        sim.jumpClock(0, 600 * SECOND_US);
        sim.setConnectivity((a, b) -> true);
        sim.runFor(20 * SECOND_US);
        sim.jumpClock(0, -600 * SECOND_US);
        sim.runFor(700 * SECOND_US);
        assertEquals(List.of(), failures);
        assertTrue(sim.viewsAreAccurate());
    }

    @Test
    void onlyTheKilledMembersFailWhenAFifthIsKilledAtOnce() {
        sim = converged(FleetSim.fleet(9, 50));
        for (int i = 0; i < 50; i += 5) {
            sim.kill(i);
        }
        awaitConvergence(20);
        assertEquals(10, failures.stream().distinct().count());
    }

    /** A member that has left keeps that status although it no longer answers probes. */
    @Test
    void aMemberThatLeftIsNotFailed() {
        sim.leave(3);
        awaitStatusInAllViews(Status.LEFT, 3, 2);
        sim.runFor(60 * SECOND_US);
        assertEquals(List.of(), failures);
    }

    /**
     * A process that is stopped while a member dies still has that member as alive after the others
     * have removed it. Once it continues, the member must not reappear in the other views.
     */
    @Test
    void aRemovedMemberDoesNotReappear() {
        sim.stop(1);
        sim.kill(9);
        sim.runFor(2 * 3600 * SECOND_US);
        assertNull(sim.statusInView(0, "n9"), "removed from the view");
        List<String> seen = new ArrayList<>();
        sim.setStatusListener(
                (atUs, observer, before, after) -> {
                    if (after.name().equals("n9") && observer != 1) {
                        seen.add(observer + " " + after);
                    }
                });
        sim.resume(1);
        sim.runFor(60 * SECOND_US);
        assertEquals(List.of(), seen);
        assertEquals(Status.FAILED, sim.statusInView(1, "n9"));
        sim.start(9);
        awaitConvergence(20);
    }

    /**
     * With names of the maximum length, updates still spread and no datagram exceeds its size
     * limit.
     */
    @Test
    void longNamesAndALossyNetworkOnlyDelayConvergence() {
        List<FleetSettings> settings = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            settings.add(
                    FleetSim.defaultSettings(
                            "a-machine-whose-name-is-as-long-as-may-be-in-" + (100 + i), i, 30));
        }
        sim = new FleetSim(4, settings);
        sim.setNetworkConditions(new FleetSim.NetworkConditions(0.2, 0.2, 0.2, 200, 2_000));
        sim.startAll();
        awaitConvergence(30);
        assertEquals(0, sim.droppedDatagrams(0, DropReason.SIZE));
    }
}
