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
     * @param broken what does not hold after which steps, or null
     */
    public record Found(long states, String broken) {}

    private final Parts parts;
    private final DutyWorld.Bounds bounds;

    /**
     * Bounds on one row of steps: their number, half leases that pass, crashes, and doubled
     * messages.
     */
    public DutyChecker(Parts parts, int depth, int ticks, int crashes, int copies) {
        this.parts = parts;
        this.bounds = new DutyWorld.Bounds(depth, ticks, crashes, copies);
    }

    /** Explores until something does not hold or all is seen. */
    public Found run() {
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
                                        int steps = play(path).steps();
                                        for (int step = 0; step < steps; step++) {
                                            DutyWorld world = play(path);
                                            if (world.step(step)) {
                                                byte[] longer =
                                                        Arrays.copyOf(path, path.length + 1);
                                                longer[path.length] = (byte) step;
                                                if (world.broken() != null) {
                                                    broken.compareAndSet(
                                                            null,
                                                            world.broken()
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
        return new Found(seen.size(), broken.get());
    }

    private static long hash(String signature) {
        byte[] bytes = signature.getBytes(StandardCharsets.US_ASCII);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }

    private DutyWorld play(byte[] path) {
        DutyWorld world = new DutyWorld(parts, bounds);
        IntStream.range(0, path.length).forEach(i -> world.step(Byte.toUnsignedInt(path[i])));
        return world;
    }
}
