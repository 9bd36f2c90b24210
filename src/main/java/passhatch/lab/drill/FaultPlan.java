package passhatch.lab.drill;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Expands a scenario's faults into steps that are ordered by time. For each target of a fault, one
 * step injects the fault. If the fault has a duration, a second step undoes the fault after that
 * time. The same scenario always results in the same steps.
 */
final class FaultPlan {

    /**
     * An action on one target, which injects a fault or undoes it.
     *
     * @param at time after the start of the load
     * @param targetIndex index of the proxy or backend, from 0; -1 for types that have only one
     *     target
     * @param fault fault of the scenario to which the step belongs
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

    static List<Step> stepsOf(Scenario scenario) {
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
        // The sort is stable: steps with the same time keep the order of the scenario file.
        steps.sort(Comparator.comparing(Step::at));
        return steps;
    }

    private static int[] targetIndices(Scenario scenario, Scenario.Fault fault) {
        return switch (fault.type().targetType()) {
            case PROXY ->
                    targetIndicesByName(fault.target(), "proxies", scenario.proxies().count());
            case BACKEND ->
                    targetIndicesByName(fault.target(), "backends", scenario.backends().count());
            default -> new int[] {-1};
        };
    }

    /**
     * Returns the indices of the targets with the given names, such as proxy-1. The index of
     * proxy-1 is 0.
     *
     * @param all name that stands for all targets
     * @param count number of targets
     */
    static int[] targetIndicesByName(List<String> names, String all, int count) {
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
