package passhatch.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Tests the invariants of membership under random faults; {@code passhatch-lab.jar fleet explore}
 * runs more seeds.
 */
class FleetExplorerTest {

    @Test
    void invariantsHoldUnderRandomFaults() {
        for (int members : new int[] {2, 3, 7, 20}) {
            FleetExplorer explorer = new FleetExplorer(members);
            assertEquals(
                    List.of(),
                    LongStream.range(0, 150)
                            .parallel()
                            .mapToObj(
                                    seed -> {
                                        String violation =
                                                explorer.run(seed, explorer.drawFaults(seed))
                                                        .violation();
                                        return violation == null
                                                ? null
                                                : members
                                                        + " members, seed "
                                                        + seed
                                                        + ": "
                                                        + violation;
                                    })
                            .filter(b -> b != null)
                            .toList());
        }
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        FleetExplorer explorer = new FleetExplorer(12);
        assertEquals(
                explorer.run(5, explorer.drawFaults(5)), explorer.run(5, explorer.drawFaults(5)));
        FleetSim one = FleetSim.fleet(5, 12);
        FleetSim other = FleetSim.fleet(5, 12);
        for (FleetSim sim : List.of(one, other)) {
            sim.setNetworkConditions(new FleetSim.NetworkConditions(0.3, 0.1, 0.1, 200, 2_000));
            sim.startAll();
            sim.runFor(60_000_000);
        }
        assertEquals(one.processedEvents(), other.processedEvents());
        assertEquals(one.view(3), other.view(3));
    }

    /** A failing run can be saved and repeated from the text of its faults. */
    @Test
    void faultsCanBeParsedFromTheirText() {
        FleetExplorer explorer = new FleetExplorer(10);
        List<FleetFault> faults = explorer.drawFaults(3);
        List<FleetFault> parsed = faults.stream().map(f -> FleetFault.parse(f.toString())).toList();
        assertEquals(faults, parsed);
        assertNull(explorer.run(3, parsed).violation());
    }
}
