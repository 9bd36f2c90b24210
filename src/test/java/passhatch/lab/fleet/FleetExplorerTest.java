package passhatch.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Random faults against what must hold; more seeds by {@code passhatch-lab.jar fleet explore}. */
class FleetExplorerTest {

    @Test
    void whatMustHoldHoldsForRandomFaults() {
        for (int members : new int[] {2, 3, 7, 20}) {
            FleetExplorer explorer = new FleetExplorer(members);
            assertEquals(
                    List.of(),
                    LongStream.range(0, 150)
                            .parallel()
                            .mapToObj(
                                    seed -> {
                                        String broken =
                                                explorer.play(seed, explorer.draw(seed)).broken();
                                        return broken == null
                                                ? null
                                                : members
                                                        + " members, seed "
                                                        + seed
                                                        + ": "
                                                        + broken;
                                    })
                            .filter(b -> b != null)
                            .toList());
        }
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        FleetExplorer explorer = new FleetExplorer(12);
        assertEquals(explorer.play(5, explorer.draw(5)), explorer.play(5, explorer.draw(5)));
        FleetSim one = FleetSim.fleet(5, 12);
        FleetSim other = FleetSim.fleet(5, 12);
        for (FleetSim sim : List.of(one, other)) {
            sim.network(new FleetSim.Network(0.3, 0.1, 0.1, 200, 2_000));
            sim.startAll();
            sim.run(60_000_000);
        }
        assertEquals(one.steps(), other.steps());
        assertEquals(one.view(3), other.view(3));
    }

    /** So that a failing run can be kept and played again. */
    @Test
    void aFaultIsWrittenAndReadAgain() {
        FleetExplorer explorer = new FleetExplorer(10);
        List<FleetFault> faults = explorer.draw(3);
        List<FleetFault> read = faults.stream().map(f -> FleetFault.parse(f.toString())).toList();
        assertEquals(faults, read);
        assertNull(explorer.play(3, read).broken());
    }
}
