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
 * Runs the duties of this machine's agent on the agent's event loop. A duty is an exclusive job
 * that one process of the fleet holds by lease. The agent is a candidate for each duty that it
 * wants. It is also a voter if the configuration lists it among the voters.
 */
final class DutyNode {

    private static final Logger LOG = LoggerFactory.getLogger(DutyNode.class);

    private static final long RECALL_INTERVAL_MS = 500;

    private final EventLoop loop;
    private final FleetNode fleetNode;
    private final AgentStore store;
    private final AgentConfig.Duties config;
    private final DutySettings settings;
    private final String self;
    private final Map<String, WantedDuty> wantedDutyByName = new TreeMap<>();
    private Voter voter;

    /** A duty for which this process is a candidate. */
    private final class WantedDuty implements DutyActions {
        private final String duty;
        private final Candidate candidate;
        private final DutyListener listener;
        private ScheduledFuture<?> timer;

        WantedDuty(String duty, String holder, RandomGenerator random, DutyListener listener) {
            this.duty = duty;
            this.listener = listener;
            this.candidate = new Candidate(settings, duty, holder, config.rank(), random, this);
        }

        void scheduleTimer() {
            if (timer != null) {
                timer.cancel(false);
            }
            long wakeUs = candidate.wakeAtUs();
            timer =
                    wakeUs == Long.MAX_VALUE
                            ? null
                            : loop.schedule(
                                    () -> {
                                        candidate.timer(FleetNode.nowUs());
                                        scheduleTimer();
                                    },
                                    Math.max(0, wakeUs - FleetNode.nowUs()),
                                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void send(String to, DutyMessage message) {
            DutyNode.this.send(to, message);
        }

        @Override
        public void dutyAcquired(long term) {
            LOG.atInfo()
                    .addKeyValue("event", "duty")
                    .addKeyValue("duty", duty)
                    .addKeyValue("term", term)
                    .log("duty acquired");
            if (listener != null) {
                listener.dutyGranted(term);
            }
        }

        @Override
        public void dutyLost(long term) {
            LOG.atInfo()
                    .addKeyValue("event", "duty")
                    .addKeyValue("duty", duty)
                    .addKeyValue("term", term)
                    .log("duty lost");
            if (listener != null) {
                listener.dutyLost(term);
            }
        }
    }

    /**
     * Starts the voter and the candidates. Must be called on the loop.
     *
     * @param listeners listeners by the name of the duty that they need; this process is a
     *     candidate for these duties in addition to the configured ones
     */
    DutyNode(
            EventLoop loop,
            FleetNode fleetNode,
            AgentStore store,
            AgentConfig.Duties config,
            String self,
            RandomGenerator random,
            Map<String, DutyListener> listeners) {
        this.loop = loop;
        this.fleetNode = fleetNode;
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
            voter = new Voter(settings, FleetNode.nowUs(), store.promises(), this::persistPromise);
        }
        fleetNode.onDutyMessage(this::receive);
        recallPromises();
        Set<String> wanted = new TreeSet<>(config.wanted());
        wanted.addAll(listeners.keySet());
        for (String duty : wanted) {
            WantedDuty wantedDuty =
                    new WantedDuty(duty, self + ":" + store.epoch(), random, listeners.get(duty));
            wantedDutyByName.put(duty, wantedDuty);
            wantedDuty.candidate.campaign(FleetNode.nowUs());
            wantedDuty.scheduleTimer();
        }
    }

    /**
     * Asks the other voters for the latest terms that they know, because this voter has lost its
     * promises. Repeats this at intervals until this voter may vote.
     */
    private void recallPromises() {
        if (voter != null && !voter.isVoting()) {
            config.voters().stream()
                    .filter(v -> !v.equals(self))
                    .forEach(v -> send(v, voter.createRecall()));
            loop.schedule(this::recallPromises, RECALL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Allows this voter to vote although it has no stored promises. The operator requests this when
     * the set of voters is first initialized. Returns the answer for the operator.
     */
    String initializeVoter() {
        return voter != null && voter.initialize()
                ? "done\n"
                : "error this process is no voter, or votes already\n";
    }

    private boolean persistPromise(Promise promise) {
        try {
            store.persistPromise(promise);
            return true;
        } catch (StoreException failed) {
            LOG.atError()
                    .addKeyValue("event", "store")
                    .log(
                            "the promise cannot be stored, so nothing is granted: {}",
                            failed.getMessage());
            return false;
        }
    }

    private void send(String to, DutyMessage message) {
        if (to.equals(self)) {
            loop.execute(() -> receive(self, message));
        } else {
            fleetNode.send(to, message);
        }
    }

    private void receive(String from, DutyMessage message) {
        long nowUs = FleetNode.nowUs();
        switch (message.kind()) {
            case REQUEST, RELEASE, RECALL, TERMS -> {
                DutyMessage reply = voter == null ? null : voter.onMessage(nowUs, from, message);
                if (reply != null) {
                    send(from, reply);
                }
            }
            case GRANT, REFUSAL, TAKE -> {
                WantedDuty wantedDuty = wantedDutyByName.get(message.duty());
                if (wantedDuty != null) {
                    wantedDuty.candidate.onMessage(nowUs, from, message);
                    wantedDuty.scheduleTimer();
                }
            }
        }
    }

    /**
     * Returns the answer for the operator: {@code done TERM} if this process may act on a duty now,
     * where {@code TERM} is the fencing token to use, and otherwise {@code error ...}.
     */
    String checkMayAct(String duty) {
        WantedDuty wantedDuty = wantedDutyByName.get(duty);
        long term = wantedDuty == null ? 0 : wantedDuty.candidate.term();
        return wantedDuty != null && wantedDuty.candidate.mayActInTerm(FleetNode.nowUs(), term)
                ? "done " + term + "\n"
                : "error this process does not hold '" + duty + "'\n";
    }

    /**
     * Gives up a duty. If {@code to} is not null, the candidate with that name should acquire the
     * duty next. This process becomes a candidate again after the duration of one lease. Returns
     * the answer for the operator.
     */
    String giveUp(String duty, String to) {
        WantedDuty wantedDuty = wantedDutyByName.get(duty);
        if (wantedDuty == null || !wantedDuty.candidate.mayAct(FleetNode.nowUs())) {
            return "error this process does not hold '" + duty + "'\n";
        }
        wantedDuty.candidate.giveUp(FleetNode.nowUs(), to);
        wantedDuty.scheduleTimer();
        loop.schedule(
                () -> {
                    wantedDuty.candidate.campaign(FleetNode.nowUs());
                    wantedDuty.scheduleTimer();
                },
                settings.leaseUs(),
                TimeUnit.MICROSECONDS);
        return "done\n";
    }

    /** Returns the state of the duties at this process, as one line of JSON. */
    String json() {
        long nowUs = FleetNode.nowUs();
        List<Object> wantedDuties = new ArrayList<>();
        wantedDutyByName.forEach(
                (duty, wantedDuty) -> {
                    Map<String, Object> entry = new LinkedHashMap<>();
                    entry.put("duty", duty);
                    entry.put("term", wantedDuty.candidate.term());
                    entry.put("left_ms", wantedDuty.candidate.remainingLeaseUs(nowUs) / 1_000);
                    wantedDuties.add(entry);
                });
        List<Object> promised = new ArrayList<>();
        store.promises().stream()
                .map(Promise::duty)
                .filter(d -> !d.isEmpty())
                .sorted()
                .forEach(
                        duty -> {
                            Map<String, Object> entry = new LinkedHashMap<>();
                            entry.put("duty", duty);
                            entry.put("term", voter == null ? 0 : voter.promiseFor(duty).term());
                            entry.put(
                                    "holder", voter == null ? "" : voter.promiseFor(duty).holder());
                            entry.put(
                                    "bound_ms",
                                    voter == null ? 0 : voter.boundForUs(nowUs, duty) / 1_000);
                            promised.add(entry);
                        });
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("self", self);
        root.put("voter", voter != null);
        root.put("votes", voter != null && voter.isVoting());
        root.put("voters", config.voters());
        root.put("epoch", config.epoch());
        root.put("candidate", wantedDuties);
        root.put("promised", promised);
        try {
            return JSON.std.asString(root) + "\n";
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
