package passhatch.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import passhatch.lab.Seeds;

/**
 * One run of the soak: a proxy with drawn limits, drawn disturbances beside well-behaved clients,
 * and an order to end during which clients keep using their connections until the kill.
 */
final class SoakRun {

    private static final int[] MEMORY_MB = {72, 96, 144, 192};
    private static final int[] DESCRIPTORS = {256, 512, 1_024};
    private static final int MIN_PHASES = 2;
    private static final int MAX_PHASES = 3;
    private static final int MAX_AT_A_TIME = 3;
    private static final long KILL_MARGIN_MS = 700;
    private static final double CROWD_PROBABILITY = 0.3;

    /** The number of descriptors that idle clients leave to others. */
    private static final int FREE_DESCRIPTORS = 60;

    /**
     * The result of a run.
     *
     * @param violations every breach of a rule, and what ended the process if anything did
     * @param requests the number of requests of well-behaved clients
     * @param served how many of these got a backend's response in time
     */
    record Result(
            long seed,
            String conditions,
            List<String> violations,
            int requests,
            long served,
            long peakMemoryMb,
            long driverStallMs) {}

    private final long seed;
    private final UniformRandomProvider random;
    private final ProxyTestbed.Limits limits;
    private final StringJoiner conditions = new StringJoiner(" ");
    private final List<String> violations = new ArrayList<>();
    private long peakMemoryMb;

    private SoakRun(long seed) {
        this.seed = seed;
        this.random = new Seeds(seed).stream("soak");
        this.limits = new ProxyTestbed.Limits(pick(MEMORY_MB), pick(DESCRIPTORS));
        conditions.add(limits.memoryMb() + "MB").add(limits.descriptors() + "fd");
    }

    private int pick(int[] values) {
        return values[random.nextInt(values.length)];
    }

    /** Plays the run of a seed and judges it. */
    static Result play(long seed, Path jar, Path folder) throws IOException, InterruptedException {
        return new SoakRun(seed).play(jar, folder);
    }

    private Result play(Path jar, Path folder) throws IOException, InterruptedException {
        try (ProxyTestbed testbed = new ProxyTestbed(jar, folder, limits, seed);
                StallMeter stallMeter = new StallMeter();
                Crowd idle = new Crowd(testbed, "idle")) {
            if (random.nextDouble() < CROWD_PROBABILITY) {
                conditions.add("crowd");
                idle.connect(limits.descriptors() - FREE_DESCRIPTORS);
            }
            Bystanders bystanders = new Bystanders(testbed, "bystander", random.nextInt(20, 60));
            int phases = random.nextInt(MIN_PHASES, MAX_PHASES + 1);
            for (int phase = 0; phase < phases && testbed.process().isAlive(); phase++) {
                playPhase(testbed, phase);
            }
            checkProcess(testbed);
            endProcess(testbed);
            List<ClientRequest> requests = bystanders.stop();
            RuleChecker.check(testbed.records).forEach(found -> violations.add(found.toString()));
            if (testbed.process().log().contains("OutOfMemoryError")) {
                violations.add("OutOfMemoryError in the proxy's log");
            }
            return new Result(
                    seed,
                    conditions.toString(),
                    violations,
                    requests.size(),
                    requests.stream().filter(ClientRequest::servedInTime).count(),
                    peakMemoryMb,
                    stallMeter.longestMs());
        }
    }

    private void playPhase(ProxyTestbed testbed, int phase) throws InterruptedException {
        long endNs =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(random.nextInt(1_000, 3_000));
        List<Thread> running = new ArrayList<>();
        for (int i = random.nextInt(1, MAX_AT_A_TIME + 1); i > 0; i--) {
            Disturbance kind = Disturbance.values()[random.nextInt(Disturbance.values().length)];
            String name = "p" + phase + "-" + i + "-" + kind.name().toLowerCase(Locale.ROOT);
            conditions.add(name);
            Disturbance.Context context =
                    new Disturbance.Context(testbed, new Seeds(seed).stream(name), name, endNs);
            Thread thread = new Thread(() -> runQuietly(kind, context), name);
            thread.start();
            running.add(thread);
        }
        for (Thread thread : running) {
            thread.join();
        }
    }

    private static void runQuietly(Disturbance kind, Disturbance.Context context) {
        try {
            kind.run(context);
        } catch (IOException | InterruptedException ended) {
            // A refused connection ends the disturbance; what that costs others is judged.
        }
    }

    private void checkProcess(ProxyTestbed testbed) throws IOException {
        if (!testbed.process().isAlive()) {
            violations.add("the process ended: " + testbed.process().logTail());
            return;
        }
        peakMemoryMb = testbed.peakMemoryMb();
        if (peakMemoryMb > limits.memoryMb()) {
            violations.add("memory: " + peakMemoryMb + " of " + limits.memoryMb() + " MB");
        }
    }

    private void endProcess(ProxyTestbed testbed) throws IOException, InterruptedException {
        long longestDeadlineMs = 0;
        for (RequestKind kind : RequestKind.values()) {
            longestDeadlineMs = Math.max(longestDeadlineMs, kind.deadlineMs);
        }
        testbed.shutDown(longestDeadlineMs + KILL_MARGIN_MS);
    }
}
