package passhatch.lab.duty;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * A model checker that explores every sequence of a bounded number of steps, breadth first:
 * messages arrive in any order, twice or never, processes crash, time passes. States are
 * distinguished by a hash of 64 bits.
 */
public final class DutyChecker {

    /**
     * The result of an exploration.
     *
     * @param states number of different states; states that become equal when voters or candidates
     *     are exchanged with each other count once
     * @param violation the property that does not hold and the steps that lead to the violation;
     *     null if no violation was found
     */
    public record Result(long states, String violation) {}

    private final StateMachineFactory factory;
    private final DutyModel.Bounds bounds;

    /**
     * Creates a checker with bounds on one sequence of steps.
     *
     * @param depth maximum number of steps
     * @param ticks maximum number of half leases that pass
     * @param crashes maximum number of crashes
     * @param copies maximum number of duplicated messages
     */
    public DutyChecker(StateMachineFactory factory, int depth, int ticks, int crashes, int copies) {
        this.factory = factory;
        this.bounds = new DutyModel.Bounds(depth, ticks, crashes, copies);
    }

    /** Explores until a property is violated or all states within the bounds are seen. */
    public Result run() {
        Set<Long> seen = ConcurrentHashMap.newKeySet();
        AtomicReference<String> violation = new AtomicReference<>();
        List<byte[]> level = List.of(new byte[0]);
        for (int depth = 0;
                depth < bounds.depth() && violation.get() == null && !level.isEmpty();
                depth++) {
            level =
                    level.parallelStream()
                            .<byte[]>mapMulti(
                                    (path, next) -> {
                                        int steps = replay(path).stepCount();
                                        for (int step = 0; step < steps; step++) {
                                            DutyModel model = replay(path);
                                            if (model.step(step)) {
                                                byte[] longer =
                                                        Arrays.copyOf(path, path.length + 1);
                                                longer[path.length] = (byte) step;
                                                if (model.violation() != null) {
                                                    violation.compareAndSet(
                                                            null,
                                                            model.violation()
                                                                    + " after "
                                                                    + Arrays.toString(longer));
                                                } else if (seen.add(hash(model.signature()))) {
                                                    next.accept(longer);
                                                }
                                            }
                                        }
                                    })
                            .toList();
        }
        return new Result(seen.size(), violation.get());
    }

    private static long hash(String signature) {
        byte[] bytes = signature.getBytes(StandardCharsets.US_ASCII);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }

    private DutyModel replay(byte[] path) {
        DutyModel model = new DutyModel(factory, bounds);
        IntStream.range(0, path.length).forEach(i -> model.step(Byte.toUnsignedInt(path[i])));
        return model;
    }
}
