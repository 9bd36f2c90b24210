package passhatch.agent;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import passhatch.duty.Candidate;
import passhatch.duty.DutyActions;
import passhatch.duty.DutyMessage;
import passhatch.duty.DutySettings;
import passhatch.duty.Promise;
import passhatch.duty.Voter;
import passhatch.store.StoreException;

/**
 * Drives the duties of this machine's agent on its event loop: as a voter, where it is one, and as
 * candidate.
 */
final class DutyNode {

    private static final Logger LOG = LoggerFactory.getLogger(DutyNode.class);

    private static final long RECALL_EVERY_MS = 500;

    private final EventLoop loop;
    private final FleetNode fleet;
    private final AgentStore store;
    private final AgentConfig.Duties config;
    private final DutySettings settings;
    private final String self;
    private final Map<String, Run> candidates = new TreeMap<>();
    private Voter voter;

    /** One duty that this process wants. */
    private final class Run implements DutyActions {
        private final String duty;
        private final Candidate candidate;
        private final DutyHolder told;
        private ScheduledFuture<?> timer;

        Run(String duty, String holder, RandomGenerator random, DutyHolder told) {
            this.duty = duty;
            this.told = told;
            this.candidate = new Candidate(settings, duty, holder, config.rank(), random, this);
        }

        void plan() {
            if (timer != null) {
                timer.cancel(false);
            }
            long at = candidate.wakeAtUs();
            timer =
                    at == Long.MAX_VALUE
                            ? null
                            : loop.schedule(
                                    () -> {
                                        candidate.timer(FleetNode.nowUs());
                                        plan();
                                    },
                                    Math.max(0, at - FleetNode.nowUs()),
                                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void send(String to, DutyMessage message) {
            DutyNode.this.send(to, message);
        }

        @Override
        public void granted(long term) {
            LOG.atInfo()
                    .addKeyValue("event", "duty")
                    .addKeyValue("duty", duty)
                    .addKeyValue("term", term)
                    .log("this process has the duty");
            if (told != null) {
                told.granted(term);
            }
        }

        @Override
        public void lost(long term) {
            LOG.atInfo()
                    .addKeyValue("event", "duty")
                    .addKeyValue("duty", duty)
                    .addKeyValue("term", term)
                    .log("the duty is gone");
            if (told != null) {
                told.lost(term);
            }
        }
    }

    /**
     * Takes part from now on; on the loop.
     *
     * @param holders parts of this process that are told when it has a duty or has it no more;
     *     their duties are wanted beside those that are configured
     */
    DutyNode(
            EventLoop loop,
            FleetNode fleet,
            AgentStore store,
            AgentConfig.Duties config,
            String self,
            RandomGenerator random,
            Map<String, DutyHolder> holders) {
        this.loop = loop;
        this.fleet = fleet;
        this.store = store;
        this.config = config;
        this.self = self;
        this.settings =
                new DutySettings(
                        config.voters(),
                        config.epoch(),
                        TimeUnit.MICROSECONDS.convert(config.lease()),
                        config.drift());
        if (config.voters().contains(self)) {
            voter = new Voter(settings, FleetNode.nowUs(), store.promises(), this::keep);
        }
        fleet.duties(this::hear);
        recall();
        Set<String> wanted = new TreeSet<>(config.wanted());
        wanted.addAll(holders.keySet());
        for (String duty : wanted) {
            Run run = new Run(duty, self + ":" + store.epoch(), random, holders.get(duty));
            candidates.put(duty, run);
            run.candidate.want(FleetNode.nowUs());
            run.plan();
        }
    }

    /** Asks the other voters what this one has forgotten, as long as it does not vote. */
    private void recall() {
        if (voter != null && !voter.votes()) {
            config.voters().stream()
                    .filter(v -> !v.equals(self))
                    .forEach(v -> send(v, voter.recall()));
            loop.schedule(this::recall, RECALL_EVERY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Lets this voter vote without a memory, at the first founding of the voters. */
    String found() {
        return voter != null && voter.found()
                ? "done\n"
                : "error this process is no voter, or votes already\n";
    }

    private boolean keep(Promise promise) {
        try {
            store.keep(promise);
            return true;
        } catch (StoreException failed) {
            LOG.atError()
                    .addKeyValue("event", "store")
                    .log("nothing is granted: {}", failed.getMessage());
            return false;
        }
    }

    private void send(String to, DutyMessage message) {
        if (to.equals(self)) {
            loop.execute(() -> hear(self, message));
        } else {
            fleet.send(to, message);
        }
    }

    private void hear(String from, DutyMessage message) {
        long now = FleetNode.nowUs();
        switch (message.kind()) {
            case REQUEST, RELEASE, RECALL, TERMS -> {
                DutyMessage answer = voter == null ? null : voter.hear(now, from, message);
                if (answer != null) {
                    send(from, answer);
                }
            }
            case GRANT, REFUSAL, TAKE -> {
                Run run = candidates.get(message.duty());
                if (run != null) {
                    run.candidate.hear(now, from, message);
                    run.plan();
                }
            }
        }
    }

    /**
     * Whether this process may act on a duty just now: {@code done TERM}, with the token for
     * whoever carries it out, or {@code error ...}.
     */
    String act(String duty) {
        Run run = candidates.get(duty);
        long term = run == null ? 0 : run.candidate.term();
        return run != null && run.candidate.guard(FleetNode.nowUs(), term)
                ? "done " + term + "\n"
                : "error this process does not hold '" + duty + "'\n";
    }

    /**
     * Gives a duty up, to another candidate where one is named. It wants it again once a lease is
     * over.
     */
    String giveUp(String duty, String to) {
        Run run = candidates.get(duty);
        if (run == null || !run.candidate.mayAct(FleetNode.nowUs())) {
            return "error this process does not hold '" + duty + "'\n";
        }
        run.candidate.giveUp(FleetNode.nowUs(), to);
        run.plan();
        loop.schedule(
                () -> {
                    run.candidate.want(FleetNode.nowUs());
                    run.plan();
                },
                settings.leaseUs(),
                TimeUnit.MICROSECONDS);
        return "done\n";
    }

    /** All that this process knows of the duties, one line. */
    String json() {
        long now = FleetNode.nowUs();
        List<Object> held = new ArrayList<>();
        candidates.forEach(
                (duty, run) -> {
                    Map<String, Object> one = new LinkedHashMap<>();
                    one.put("duty", duty);
                    one.put("term", run.candidate.term());
                    one.put("left_ms", run.candidate.leftUs(now) / 1_000);
                    held.add(one);
                });
        List<Object> promised = new ArrayList<>();
        store.promises().stream()
                .map(Promise::duty)
                .filter(d -> !d.isEmpty())
                .sorted()
                .forEach(
                        duty -> {
                            Map<String, Object> one = new LinkedHashMap<>();
                            one.put("duty", duty);
                            one.put("term", voter == null ? 0 : voter.promised(duty).term());
                            one.put("holder", voter == null ? "" : voter.promised(duty).holder());
                            one.put(
                                    "bound_ms",
                                    voter == null ? 0 : voter.boundForUs(now, duty) / 1_000);
                            promised.add(one);
                        });
        Map<String, Object> whole = new LinkedHashMap<>();
        whole.put("self", self);
        whole.put("voter", voter != null);
        whole.put("votes", voter != null && voter.votes());
        whole.put("voters", config.voters());
        whole.put("epoch", config.epoch());
        whole.put("candidate", held);
        whole.put("promised", promised);
        try {
            return JSON.std.asString(whole) + "\n";
        } catch (IOException cannotBe) {
            throw new IllegalStateException(cannotBe);
        }
    }
}
