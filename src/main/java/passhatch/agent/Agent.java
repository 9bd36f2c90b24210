package passhatch.agent;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import passhatch.agent.config.InvalidInputException;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.base.ReloadSignal;
import passhatch.proxy.control.Control;
import passhatch.store.StoreException;

/**
 * The agent: a process on each machine that participates in the fleet and answers operators' calls.
 */
public final class Agent {

    private static final Logger LOG = LoggerFactory.getLogger(Agent.class);

    /**
     * Time for which a leaving agent keeps running so that the other members receive its leave
     * message.
     */
    private static final long LEAVE_GOSSIP_MS = 1_000;

    /**
     * Name of the folder for the records of the distribution of configuration changes. It is a
     * subfolder of the store's folder.
     */
    private static final String CHANGES_FOLDER = "changes";

    private final Path configFile;
    private final Map<String, String> env;
    private final EventLoop loop;
    private AgentConfig config;
    private AgentStore store;

    /**
     * Drives the membership in the fleet; null if the configuration has no {@code [fleet]} section.
     */
    private FleetNode fleetNode;

    /** Drives the duties; null if the configuration has no {@code [duties]} section. */
    private DutyNode dutyNode;

    /**
     * Drives the distribution of configuration changes; null if the configuration has no {@code
     * [changes]} section.
     */
    private ChangesNode changesNode;

    private ChangesCalls changesCalls;

    private Agent(Path configFile, Map<String, String> env) {
        this.configFile = configFile;
        this.env = env;
        this.loop =
                new MultiThreadIoEventLoopGroup(
                                1,
                                new DefaultThreadFactory("agent", true),
                                NioIoHandler.newFactory())
                        .next();
    }

    /**
     * Runs an agent until the process receives SIGTERM.
     *
     * @throws InvalidInputException if the configuration is invalid
     * @throws StoreException if the store cannot be used
     * @throws IOException if an address cannot be used
     */
    public static void run(Path configFile, Map<String, String> env, String version)
            throws IOException, StoreException, InterruptedException {
        AgentLog.logToStandardError();
        Agent agent = new Agent(configFile, env);
        agent.start(version);
        if (!ReloadSignal.handle(() -> agent.loop.execute(agent::reload))) {
            LOG.atWarn()
                    .addKeyValue("event", "configuration")
                    .log("SIGHUP is ignored since the start: the configuration cannot be reloaded");
        }
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    agent.stop();
                                    Runtime.getRuntime().halt(0);
                                }));
        // Waits forever, because the shutdown hook ends the process.
        new CountDownLatch(1).await();
    }

    private void start(String version) throws IOException, StoreException, InterruptedException {
        config = AgentConfig.read(configFile, env);
        if (config.fleet() != null) {
            store = new AgentStore(config.store(), config.fleet().self());
            store.warnings()
                    .forEach(warning -> LOG.atWarn().addKeyValue("event", "store").log(warning));
            fleetNode = new FleetNode(loop, config.fleet(), store);
            SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
            fleetNode.start(version, random);
            if (config.changes() != null) {
                startChanges(random);
            }
            if (config.duties() != null) {
                loop.submit(() -> startDuties(random)).sync();
            }
        }
        new Control(
                        loop,
                        new EventLog(System.err),
                        () -> fleetNode == null || fleetNode.participates(),
                        this::metrics,
                        this::answer)
                .listen(config.control());
        LOG.atInfo()
                .addKeyValue("event", "started")
                .addKeyValue("version", version)
                .addKeyValue("epoch", store == null ? 0 : store.epoch())
                .log("agent started");
    }

    private void startChanges(RandomGenerator random)
            throws IOException, StoreException, InterruptedException {
        changesNode = new ChangesNode(loop, config.changes(), config.fleet());
        changesNode.start(config.store().resolve(CHANGES_FOLDER), random);
        changesCalls = new ChangesCalls(changesNode);
    }

    private void startDuties(RandomGenerator random) {
        boolean mayLead = changesNode != null && changesNode.role() == Role.REPLICA;
        Map<String, DutyListener> listeners =
                mayLead ? Map.of(ChangesConfig.DUTY, changesNode) : Map.of();
        dutyNode =
                new DutyNode(
                        loop,
                        fleetNode,
                        store,
                        config.duties(),
                        config.fleet().self(),
                        random,
                        listeners);
        if (mayLead) {
            changesNode.onStepDown(() -> dutyNode.giveUp(ChangesConfig.DUTY, null));
        }
    }

    private String metrics() {
        return (fleetNode == null ? "" : MembersText.metrics(fleetNode))
                + (changesNode == null ? "" : changesCalls.metrics());
    }

    private String answer(String call) {
        String[] words = call.split(" +");
        if (ChangesCalls.isCall(words[0])) {
            return changesNode == null
                    ? "error no distribution of changes is configured\n"
                    : changesCalls.answer(words);
        }
        return switch (words[0]) {
            case "members" ->
                    fleetNode == null
                            ? "error no fleet is configured\n"
                            : MembersText.json(fleetNode);
            case "duties" ->
                    dutyNode == null ? "error no duties are configured\n" : dutyNode.json();
            case "found" ->
                    dutyNode == null
                            ? "error no duties are configured\n"
                            : dutyNode.initializeVoter();
            case "act" ->
                    dutyNode == null || words.length != 2
                            ? "error act DUTY\n"
                            : dutyNode.checkMayAct(words[1]);
            case "give-up" ->
                    dutyNode == null || words.length < 2
                            ? "error give-up DUTY [TO]\n"
                            : dutyNode.giveUp(words[1], words.length > 2 ? words[2] : null);
            default -> null;
        };
    }

    /**
     * Reloads the configuration from its file. The current configuration stays in force if the new
     * one is invalid or if it changes any value other than {@code fleet.members} and {@code
     * fleet.own}.
     */
    private void reload() {
        try {
            AgentConfig newer = AgentConfig.read(configFile, env);
            boolean possible =
                    newer.control().equals(config.control())
                            && newer.store().equals(config.store())
                            && Objects.equals(newer.duties(), config.duties())
                            && Objects.equals(newer.changes(), config.changes())
                            && (config.fleet() == null
                                    ? newer.fleet() == null
                                    : config.fleet().equalsExceptMembers(newer.fleet()));
            if (!possible) {
                LOG.atError()
                        .addKeyValue("event", "configuration")
                        .log(
                                "nothing is changed: only fleet.members and fleet.own can change"
                                        + " while the agent runs");
                return;
            }
            if (fleetNode != null && !newer.equals(config)) {
                fleetNode.reconfigure(newer.fleet());
            }
            config = newer;
        } catch (InvalidInputException invalid) {
            LOG.atError()
                    .addKeyValue("event", "configuration")
                    .log("nothing is changed: {}", invalid.getMessage());
        }
    }

    private void stop() {
        if (fleetNode == null) {
            return;
        }
        try {
            loop.submit(fleetNode::leave).sync();
            TimeUnit.MILLISECONDS.sleep(LEAVE_GOSSIP_MS);
            loop.submit(
                            () -> {
                                if (changesNode != null) {
                                    changesNode.close();
                                }
                                store.close();
                                return null;
                            })
                    .sync();
            LOG.atInfo().addKeyValue("event", "ended").log("agent left the fleet and stops");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
