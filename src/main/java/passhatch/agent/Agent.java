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
import passhatch.agent.config.BadInput;
import passhatch.distribution.DistributionSettings.Role;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.base.HangUp;
import passhatch.proxy.control.Control;
import passhatch.store.StoreException;

/** The process on a machine that takes part in the fleet and answers operators. */
public final class Agent {

    private static final Logger LOG = LoggerFactory.getLogger(Agent.class);

    /** So long the others are told that this one goes. */
    private static final long FAREWELL_MS = 1_000;

    /** Within the store's folder: what there is on disk of the distribution of changes. */
    private static final String CHANGES_FOLDER = "changes";

    private final Path file;
    private final Map<String, String> env;
    private final EventLoop loop;
    private AgentConfig config;
    private AgentStore store;

    /** Null where no fleet is configured. */
    private FleetNode node;

    /** Null where no duties are configured. */
    private DutyNode duties;

    /** Null where no distribution of changes is configured. */
    private ChangesNode changes;

    private ChangesCalls changesCalls;

    private Agent(Path file, Map<String, String> env) {
        this.file = file;
        this.env = env;
        this.loop =
                new MultiThreadIoEventLoopGroup(
                                1,
                                new DefaultThreadFactory("agent", true),
                                NioIoHandler.newFactory())
                        .next();
    }

    /**
     * Runs until SIGTERM.
     *
     * @throws BadInput where the configuration cannot be used
     * @throws StoreException where the store cannot be
     * @throws IOException where an address cannot be
     */
    public static void run(Path file, Map<String, String> env, String version)
            throws IOException, StoreException, InterruptedException {
        AgentLog.toStandardError();
        Agent agent = new Agent(file, env);
        agent.start(version);
        if (!HangUp.handle(() -> agent.loop.execute(agent::reload))) {
            LOG.atWarn()
                    .addKeyValue("event", "configuration")
                    .log("SIGHUP is ignored since the start: no new configuration is taken");
        }
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    agent.stop();
                                    Runtime.getRuntime().halt(0);
                                }));
        // The hook ends the process.
        new CountDownLatch(1).await();
    }

    private void start(String version) throws IOException, StoreException, InterruptedException {
        config = AgentConfig.read(file, env);
        if (config.fleet() != null) {
            store = new AgentStore(config.store(), config.fleet().self());
            store.notes().forEach(n -> LOG.atWarn().addKeyValue("event", "store").log(n));
            node = new FleetNode(loop, config.fleet(), store);
            SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
            node.start(version, random);
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
                        () -> node == null || node.takesPart(),
                        this::figures,
                        this::answer)
                .listen(config.control());
        LOG.atInfo()
                .addKeyValue("event", "started")
                .addKeyValue("version", version)
                .addKeyValue("epoch", store == null ? 0 : store.epoch())
                .log("the agent runs");
    }

    private void startChanges(RandomGenerator random)
            throws IOException, StoreException, InterruptedException {
        changes = new ChangesNode(loop, config.changes(), config.fleet());
        changes.start(config.store().resolve(CHANGES_FOLDER), random);
        changesCalls = new ChangesCalls(changes);
    }

    private void startDuties(RandomGenerator random) {
        boolean mayLead = changes != null && changes.role() == Role.REPLICA;
        Map<String, DutyHolder> holders = mayLead ? Map.of(ChangesConfig.DUTY, changes) : Map.of();
        duties =
                new DutyNode(
                        loop, node, store, config.duties(), config.fleet().self(), random, holders);
        if (mayLead) {
            changes.onStepDown(() -> duties.giveUp(ChangesConfig.DUTY, null));
        }
    }

    private String figures() {
        return (node == null ? "" : MembersText.figures(node))
                + (changes == null ? "" : changesCalls.figures());
    }

    private String answer(String call) {
        String[] words = call.split(" +");
        if (ChangesCalls.isCall(words[0])) {
            return changes == null
                    ? "error no distribution of changes is configured\n"
                    : changesCalls.answer(words);
        }
        return switch (words[0]) {
            case "members" ->
                    node == null ? "error no fleet is configured\n" : MembersText.json(node);
            case "duties" -> duties == null ? "error no duties are configured\n" : duties.json();
            case "found" -> duties == null ? "error no duties are configured\n" : duties.found();
            case "act" ->
                    duties == null || words.length != 2 ? "error act DUTY\n" : duties.act(words[1]);
            case "give-up" ->
                    duties == null || words.length < 2
                            ? "error give-up DUTY [TO]\n"
                            : duties.giveUp(words[1], words.length > 2 ? words[2] : null);
            default -> null;
        };
    }

    /**
     * All or nothing: what cannot be changed in a running process, or cannot be used, changes
     * nothing.
     */
    private void reload() {
        try {
            AgentConfig newer = AgentConfig.read(file, env);
            boolean possible =
                    newer.control().equals(config.control())
                            && newer.store().equals(config.store())
                            && Objects.equals(newer.duties(), config.duties())
                            && Objects.equals(newer.changes(), config.changes())
                            && (config.fleet() == null
                                    ? newer.fleet() == null
                                    : config.fleet().sameButMembers(newer.fleet()));
            if (!possible) {
                LOG.atError()
                        .addKeyValue("event", "configuration")
                        .log(
                                "nothing is changed: only fleet.members and fleet.own can be while"
                                        + " the agent runs");
                return;
            }
            if (node != null && !newer.equals(config)) {
                node.reconfigure(newer.fleet());
            }
            config = newer;
        } catch (BadInput bad) {
            LOG.atError()
                    .addKeyValue("event", "configuration")
                    .log("nothing is changed: {}", bad.getMessage());
        }
    }

    private void stop() {
        if (node == null) {
            return;
        }
        try {
            loop.submit(node::leave).sync();
            TimeUnit.MILLISECONDS.sleep(FAREWELL_MS);
            loop.submit(
                            () -> {
                                if (changes != null) {
                                    changes.close();
                                }
                                store.close();
                                return null;
                            })
                    .sync();
            LOG.atInfo().addKeyValue("event", "ended").log("the agent has left");
        } catch (InterruptedException stop) {
            Thread.currentThread().interrupt();
        }
    }
}
