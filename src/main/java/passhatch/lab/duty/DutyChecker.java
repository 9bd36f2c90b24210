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
 * Explores every order of a few steps breadth first: messages arrive in any order, twice or never,
 * processes crash, time passes. States are told apart by a hash of 64 bits.
 */
public final class DutyChecker {

    /**
     * What an exploration found.
     *
     * @param states different ones, but for which voter and which candidate is which
     * @param violation what does not hold after which steps, or null
     */
    public record Result(long states, String violation) {}

    private final StateMachineFactory factory;
    private final DutyModel.Bounds bounds;

    /**
     * Bounds on one row of steps: their number, half leases that pass, crashes, and doubled
     * messages.
     */
    public DutyChecker(StateMachineFactory parts, int depth, int ticks, int crashes, int copies) {
        this.factory = parts;
        this.bounds = new DutyModel.Bounds(depth, ticks, crashes, copies);
    }

    /** Explores until something does not hold or all is seen. */
    public Result run() {
        Set<Long> seen = ConcurrentHashMap.newKeySet();
        AtomicReference<String> broken = new AtomicReference<>();
        List<byte[]> level = List.of(new byte[0]);
        for (int depth = 0;
                depth < bounds.depth() && broken.get() == null && !level.isEmpty();
                depth++) {
            level =
                    level.parallelStream()
                            .<byte[]>mapMulti(
                                    (path, next) -> {
                                        int steps = replay(path).stepCount();
                                        for (int step = 0; step < steps; step++) {
                                            DutyModel world = replay(path);
                                            if (world.step(step)) {
                                                byte[] longer =
                                                        Arrays.copyOf(path, path.length + 1);
                                                longer[path.length] = (byte) step;
                                                if (world.violation() != null) {
                                                    broken.compareAndSet(
                                                            null,
                                                            world.violation()
                                                                    + " after "
                                                                    + Arrays.toString(longer));
                                                } else if (seen.add(hash(world.signature()))) {
                                                    next.accept(longer);
                                                }
                                            }
                                        }
                                    })
                            .toList();
        }
        return new Result(seen.size(), broken.get());
    }

    private static long hash(String signature) {
        byte[] bytes = signature.getBytes(StandardCharsets.US_ASCII);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }

    private DutyModel replay(byte[] path) {
        DutyModel world = new DutyModel(factory, bounds);
        IntStream.range(0, path.length).forEach(i -> world.step(Byte.toUnsignedInt(path[i])));
        return world;
    }
}
