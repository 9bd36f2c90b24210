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
import passhatch.lab.drill.AgentChild;

/** Measures the first agent of a fleet whose other members are mostly hollow. */
final class AgentMeasure {

    /** Voters on a duty, each a real process; without duties one real process is enough. */
    static final int VOTERS = 3;

    /** As {@link AgentChild} configures it. */
    private static final String FLEET = "drill";

    private static final long ALIVE_WITHIN_S = 60;
    private static final long POLL_MS = 200;
    private static final long SETTLE_MS = 3_000;
    private static final long END_PATIENCE_MS = 5_000;

    private final ScaleOptions options;
    private final Path folder;

    AgentMeasure(ScaleOptions options, Path folder) {
        this.options = options;
        this.folder = folder;
    }

    /** Figures that an agent counts itself. */
    private record Counts(long sentBytes, long sent, long received) {
        static Counts of(AgentChild agent) throws IOException {
            String vars = agent.ask("vars");
            return new Counts(
                    figure(vars, "fleet_sent_bytes "),
                    figure(vars, "fleet_datagrams{way=\"out\"} "),
                    figure(vars, "fleet_datagrams{way=\"in\"} "));
        }
    }

    private static long figure(String vars, String name) throws IOException {
        return vars.lines()
                .filter(line -> line.startsWith(name))
                .map(line -> Long.valueOf(line.substring(name.length())))
                .findFirst()
                .orElseThrow(() -> new IOException("the agent does not tell " + name.strip()));
    }

    /**
     * Measures a fleet of this size.
     *
     * @throws IOException where an agent ended, or the first never saw all members alive
     */
    AgentResult.Point measure(int members, boolean duties)
            throws IOException, InterruptedException {
        int processes = duties ? VOTERS : 1;
        List<AgentChild> agents = new ArrayList<>();
        Thread lastResort = new Thread(() -> agents.forEach(a -> a.child().endNow()));
        Runtime.getRuntime().addShutdownHook(lastResort);
        try (HollowMembers hollow = new HollowMembers(members - processes)) {
            Path own = folder.resolve(members + (duties ? "-duties" : "-plain"));
            for (int i = 0; i < processes; i++) {
                agents.add(
                        new AgentChild(options.program(), own.resolve("agent-" + i), "agent-" + i));
            }
            List<InetSocketAddress> all = new ArrayList<>();
            agents.forEach(agent -> all.add(agent.listen()));
            all.addAll(hollow.addresses());
            for (AgentChild agent : agents) {
                agent.configure(all, agent.listen(), duties ? dutySection() : "");
                agent.child().start();
            }
            hollow.start(FLEET, all, new Seeds(options.seed()));
            awaitAllAlive(agents.get(0), members);
            Thread.sleep(SETTLE_MS);
            return atRest(agents.get(0), members, processes, duties);
        } finally {
            agents.parallelStream().forEach(agent -> agent.child().end(END_PATIENCE_MS));
            Runtime.getRuntime().removeShutdownHook(lastResort);
        }
    }

    private static String dutySection() {
        String voters =
                IntStream.range(0, VOTERS)
                        .mapToObj(i -> "\"agent-" + i + '"')
                        .collect(Collectors.joining(", "));
        return "[duties]\nvoters = [" + voters + "]\nwanted = [\"scale\"]\n";
    }

    private static void awaitAllAlive(AgentChild agent, int members)
            throws IOException, InterruptedException {
        String wanted = "fleet_members{status=\"alive\"} " + members + "\n";
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(ALIVE_WITHIN_S);
        while (!agent.ask("vars").contains(wanted)) {
            if (System.nanoTime() > endNs || !agent.child().alive()) {
                throw new IOException(
                        "the agent did not see all members alive within "
                                + ALIVE_WITHIN_S
                                + " s; the end of its log:\n"
                                + agent.child().logEnd());
            }
            Thread.sleep(POLL_MS);
        }
    }

    private AgentResult.Point atRest(AgentChild agent, int members, int processes, boolean duties)
            throws IOException, InterruptedException {
        long pid = agent.child().pid();
        Counts countsBefore = Counts.of(agent);
        ProcessUsage before = ProcessUsage.of(pid);
        long beganNs = System.nanoTime();
        TimeUnit.SECONDS.sleep(options.seconds());
        ProcessUsage after = ProcessUsage.of(pid);
        double seconds = (System.nanoTime() - beganNs) / 1e9;
        Counts counts = Counts.of(agent);
        return new AgentResult.Point(
                members,
                processes,
                duties,
                after,
                (after.processorSeconds() - before.processorSeconds()) / seconds,
                (counts.sentBytes() - countsBefore.sentBytes()) / seconds,
                (counts.sent() - countsBefore.sent()) / seconds,
                (counts.received() - countsBefore.received()) / seconds);
    }
}
