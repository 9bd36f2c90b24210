package passhatch.lab.drill;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The steps that a scenario's faults come down to, in the order of their times: each fault for each
 * of its targets, and what undoes it. The same scenario always gives the same steps.
 */
final class FaultPlan {

    /**
     * One thing to do.
     *
     * @param targetIndex number of the proxy or backend from 0, or -1 where there is only one
     * @param fault the fault in the file that it belongs to
     */
    record Step(Duration at, FaultType type, int targetIndex, Scenario.Fault fault) {
        String targetName() {
            return switch (type.targetType()) {
                case PROXY -> "proxy-" + (targetIndex + 1);
                case BACKEND -> "backend-" + (targetIndex + 1);
                case DISCOVERY -> "discovery";
                case PEERS -> "peers";
            };
        }
    }

    private FaultPlan() {}

    static List<Step> of(Scenario scenario) {
        List<Step> steps = new ArrayList<>();
        for (Scenario.Fault fault : scenario.faults()) {
            for (int target : targetIndices(scenario, fault)) {
                steps.add(new Step(fault.at(), fault.type(), target, fault));
                if (fault.duration() != null) {
                    steps.add(
                            new Step(
                                    fault.at().plus(fault.duration()),
                                    fault.type().undoneBy(),
                                    target,
                                    fault));
                }
            }
        }
        // A stable sort: what the file names first is done first.
        steps.sort(Comparator.comparing(Step::at));
        return steps;
    }

    private static int[] targetIndices(Scenario scenario, Scenario.Fault fault) {
        return switch (fault.type().targetType()) {
            case PROXY -> indices(fault.target(), "proxies", scenario.proxies().count());
            case BACKEND -> indices(fault.target(), "backends", scenario.backends().count());
            default -> new int[] {-1};
        };
    }

    /**
     * Numbers from 0 of what names like proxy-1 mean; the word for all of them may stand among
     * them.
     */
    static int[] indices(List<String> names, String all, int count) {
        return names.stream()
                .flatMapToInt(
                        name ->
                                name.equals(all)
                                        ? IntStream.range(0, count)
                                        : IntStream.of(
                                                Integer.parseInt(
                                                                name.substring(
                                                                        name.lastIndexOf('-') + 1))
                                                        - 1))
                .distinct()
                .toArray();
    }
}
