package passhatch.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import passhatch.lab.Seeds;
import passhatch.lab.drill.AgentProcess;

/**
 * Measures one agent process in a fleet. Most of the fleet's other members run inside the process
 * of the measuring tool.
 */
final class AgentMeasurement {

    /**
     * Number of agents that vote on the holder of a duty. Each of them is a separate agent process.
     * A measurement without duties needs only one agent process.
     */
    static final int VOTERS = 3;

    /** The name of the fleet that {@link AgentProcess} configures. */
    private static final String FLEET = "drill";

    private static final long ALIVE_TIMEOUT_S = 60;
    private static final long POLL_INTERVAL_MS = 200;
    private static final long SETTLE_TIME_MS = 3_000;
    private static final long SHUTDOWN_TIMEOUT_MS = 5_000;

    private final ScaleOptions options;
    private final Path folder;

    AgentMeasurement(ScaleOptions options, Path folder) {
        this.options = options;
        this.folder = folder;
    }

    /** Traffic counters that an agent reports about itself. */
    private record TrafficCounters(long sentBytes, long sentDatagrams, long receivedDatagrams) {
        static TrafficCounters read(AgentProcess agent) throws IOException {
            String vars = agent.ask("vars");
            return new TrafficCounters(
                    readMetric(vars, "fleet_sent_bytes "),
                    readMetric(vars, "fleet_datagrams{way=\"out\"} "),
                    readMetric(vars, "fleet_datagrams{way=\"in\"} "));
        }
    }

    private static long readMetric(String vars, String name) throws IOException {
        return vars.lines()
                .filter(line -> line.startsWith(name))
                .map(line -> Long.valueOf(line.substring(name.length())))
                .findFirst()
                .orElseThrow(() -> new IOException("the agent does not report " + name.strip()));
    }

    /**
     * Measures the resources that the first agent of a fleet uses.
     *
     * @param members number of members of the fleet
     * @param duties whether the agents are voters and candidates for a duty
     * @throws IOException if an agent ended, or if the first agent did not see all members alive
     *     within 60 s
     */
    AgentResult.Point measure(int members, boolean duties)
            throws IOException, InterruptedException {
        int processes = duties ? VOTERS : 1;
        List<AgentProcess> agents = new ArrayList<>();
        Thread shutdownHook = new Thread(() -> agents.forEach(a -> a.process().kill()));
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try (InProcessMembers otherMembers = new InProcessMembers(members - processes)) {
            Path fleetFolder = folder.resolve(members + (duties ? "-duties" : "-plain"));
            for (int i = 0; i < processes; i++) {
                agents.add(
                        new AgentProcess(
                                options.programJar(),
                                fleetFolder.resolve("agent-" + i),
                                "agent-" + i));
            }
            List<InetSocketAddress> addresses = new ArrayList<>();
            agents.forEach(agent -> addresses.add(agent.listenAddress()));
            addresses.addAll(otherMembers.addresses());
            for (AgentProcess agent : agents) {
                agent.configure(
                        addresses, agent.listenAddress(), duties ? createDutiesSection() : "");
                agent.process().start();
            }
            otherMembers.start(FLEET, addresses, new Seeds(options.seed()));
            awaitAllAlive(agents.get(0), members);
            Thread.sleep(SETTLE_TIME_MS);
            return measureAtRest(agents.get(0), members, processes, duties);
        } finally {
            agents.parallelStream()
                    .forEach(agent -> agent.process().terminate(SHUTDOWN_TIMEOUT_MS));
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        }
    }

    private static String createDutiesSection() {
        String voters =
                IntStream.range(0, VOTERS)
                        .mapToObj(i -> "\"agent-" + i + '"')
                        .collect(Collectors.joining(", "));
        return "[duties]\nvoters = [" + voters + "]\nwanted = [\"scale\"]\n";
    }

    private static void awaitAllAlive(AgentProcess agent, int members)
            throws IOException, InterruptedException {
        String expectedLine = "fleet_members{status=\"alive\"} " + members + "\n";
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(ALIVE_TIMEOUT_S);
        while (!agent.ask("vars").contains(expectedLine)) {
            if (System.nanoTime() > deadlineNs || !agent.process().isAlive()) {
                throw new IOException(
                        "the agent did not see all members alive within "
                                + ALIVE_TIMEOUT_S
                                + " s; the end of its log:\n"
                                + agent.process().logTail());
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private AgentResult.Point measureAtRest(
            AgentProcess agent, int members, int processes, boolean duties)
            throws IOException, InterruptedException {
        long pid = agent.process().pid();
        TrafficCounters countersBefore = TrafficCounters.read(agent);
        ProcessUsage usageBefore = ProcessUsage.read(pid);
        long startNs = System.nanoTime();
        TimeUnit.SECONDS.sleep(options.seconds());
        ProcessUsage usageAfter = ProcessUsage.read(pid);
        double seconds = (System.nanoTime() - startNs) / 1e9;
        TrafficCounters counters = TrafficCounters.read(agent);
        return new AgentResult.Point(
                members,
                processes,
                duties,
                usageAfter,
                (usageAfter.processorSeconds() - usageBefore.processorSeconds()) / seconds,
                (counters.sentBytes() - countersBefore.sentBytes()) / seconds,
                (counters.sentDatagrams() - countersBefore.sentDatagrams()) / seconds,
                (counters.receivedDatagrams() - countersBefore.receivedDatagrams()) / seconds);
    }
}
