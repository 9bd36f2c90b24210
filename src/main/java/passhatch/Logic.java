package passhatch;

import static passhatch.LatencyStats.MEAN_WEIGHT;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Every decision of the balancer. Its types, events and actions are in {@link Balancer} (Balancer.java).
 *
 * <p>The ordinary path: a server with none of this copy's own calls in flight first, else the fewest in
 * flight, the earliest assigned among equals; see {@link #better}. Everything else here is about failures
 * and limits.
 */
public final class Logic implements Balancer {

    /** Failures in a row after which a server rests, where few break: one may be chance, two are none. */
    private static final int FAILURES_BEFORE_COOLDOWN = 2;
    /** How long a server rests: a few tries a minute do no harm, and a restart takes some seconds. */
    private static final long FAILURE_COOLDOWN_US = 3_000_000;
    /** Further attempts earned by each request, so that retries add a tenth of load at most for long. */
    private static final double RETRIES_PER_REQUEST = 0.1;
    /** Further attempts that may be saved up for a burst of failures. */
    private static final double MAX_SAVED_RETRIES = 5;
    /** First pause before discovery is asked again; doubled at each failure. */
    private static final long DISCOVERY_RETRY_DELAY_US = 250_000;
    /** Part of the whole that probes may cost over all tiers; where two a call are dearer, none is sent. */
    private static final double MAX_PROBE_COST_FRACTION = 0.02;
    /** Probes sent at a time before a call: one may be lost or slow, more than two would mostly be wasted. */
    private static final int PROBES_PER_ROUND = 2;
    /** While servers hold fewer calls than this on average, one probe at a time will mostly do. */
    private static final double LIGHT_LOAD = 0.25;
    /** Rounds of probes before a call takes the best server known. */
    private static final int MAX_PROBE_ROUNDS = 3;
    /** A probe is worth waiting for while it takes no more than this part of the aim. */
    private static final double MAX_PROBE_LATENCY_FRACTION = 0.02;
    /** An answer to a probe counts as overdue after this many times the usual. */
    private static final double PROBE_OVERDUE_FACTOR = 3;
    /** A report of a busy server holds for this part of a usual call, as most of that work is still to do. */
    private static final double BUSY_REPORT_FACTOR = 0.25;
    /** Part of a call's work beyond the usual that counts: hints err, and not all time is work. */
    private static final double EXTRA_WORK_FACTOR = 0.5;
    /** Part of its time to spare that a call may be expected to wait: the mean is far from the worst. */
    private static final double MAX_WAIT_FRACTION = 0.36;
    /** A call worth more may be expected to take up to so many times that part: the least is shed first. */
    private static final double MAX_PRIORITY_FACTOR = 2;
    /** Calls that the copies sharing a server may always have there together: they keep some cores busy. */
    private static final double MIN_SERVER_CONCURRENCY = 4;
    /** More are sent while the next should take under so many times the calm time; 2 to 3 do alike. */
    private static final double CONGESTED_FACTOR = 2.3;
    /** And while calls on the whole take less than this multiple: a burst after calm is no crowd. */
    private static final double OVERALL_CONGESTION_FACTOR = 1.3;
    /** Classes worth up to so many times the least are not favoured: they may be half of all traffic. */
    private static final double PRIORITY_WORTH_RATIO = 4;
    /** A server's turn comes at most this many times as seldom, or as often, as the usual one's. */
    private static final double MAX_SLOWDOWN = 20;
    /** The part of what would push a cold server over that all copies together may send it. */
    private static final double COLD_LOAD_FRACTION = 0.5;
    /**
     * A held call must have this multiple of a usual call left: sent at the last moment, half would be late.
     */
    private static final double QUEUED_TIME_FACTOR = 1.4;
    /** A rest is doubled at each further failure, so many times at most. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    /** A call counts as overdue after this many times the expected, as the times of calls spread widely. */
    private static final double ATTEMPT_OVERDUE_FACTOR = 5;
    /** Overdue attempts, or unanswered probes, in a row after which a server rests. */
    private static final int MAX_UNANSWERED = 2;
    /** Rounds by which the turn of a server in another zone is put off: near ones come first. */
    private static final double CROSS_ZONE_ROUNDS = 1;
    /** Weight of the newest answer in a server's share of errors. */
    private static final double ERROR_WEIGHT = 0.2;
    /** Share of errors above which a server may rest for it. */
    private static final double MAX_ERROR_RATE = 0.35;
    /** A slow server is tried again after this long at the latest, as it may have recovered. */
    private static final double MAX_SLOW_SERVER_DELAY_US = 24_000_000;
    /** The load of a server that turned a call away as full. */
    private static final int FULL_LOAD = 1000;
    /** Copies that share a server, where only their own calls tell its load: they should see most of it. */
    private static final double COPIES_PER_SERVER = 2;
    /** Servers in a copy's circle at least: with fewer, one that is slow or dead weighs too much. */
    private static final int MIN_SUBSET_SIZE = 4;
    /** The same where probes tell: enough to find an idle one, few enough to rank for each call. */
    private static final int MIN_PROBED_SUBSET_SIZE = 24;
    /** At most one line for the operator in this time: trouble comes in crowds. */
    private static final long LOG_INTERVAL_US = 10_000_000;

    /** Which servers are looked for: all, those known to be idle, those of which nothing is known. */
    private enum ServerFilter { ANY, REPORTED_IDLE, UNKNOWN_LOAD }

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<String, ServerState> serversById = new HashMap<>();
    /** Servers of the list that drain. */
    private final Set<String> drainingIds = new HashSet<>();
    private final List<ServerState> servers = new ArrayList<>();
    private final Map<String, RequestState> requests = new HashMap<>();
    /** Calls for which no server may be used now, oldest first. */
    private final ArrayDeque<RequestState> waiting = new ArrayDeque<>();
    /** Attempts in the order of their sending, to find those overdue. */
    private final ArrayDeque<Attempt> sentAttempts = new ArrayDeque<>();
    private final ReportTrust reportTrust = new ReportTrust(FAILURE_COOLDOWN_US, ERROR_WEIGHT, MAX_ERROR_RATE);
    private final FailureRates failureRates = new FailureRates();
    private final ListLease lease;
    /** The shortest aim of all classes. */
    private final double minAimUs;
    private final double minWorth;
    private double savedRetries = MAX_SAVED_RETRIES;
    private long wakeAtUs = Long.MAX_VALUE;
    private boolean listReceived;
    private boolean watching;
    private boolean listUsable = true;
    private long nextLogAtUs = Long.MIN_VALUE;
    private long watchRequestAtUs = Long.MAX_VALUE;
    private int discoveryFailures;
    /** Probes that the price allows for each call, and those saved up. */
    private final double probesPerRequest;
    private double savedProbes;
    private double probeLatencyUs;
    /** Mean of the loads that probed servers reported: what a server not asked just now is taken to hold. */
    private double meanReportedLoad;
    private final LatencyStats latencies;
    private double meanWorkUs;
    /** The time that clients give a first try. */
    private double firstTryTimeoutUs;
    private final TenantQuotas tenantQuotas;
    private double meanSendGapUs;
    private long lastSentAtUs = Long.MIN_VALUE;

    /**
     * A new copy, which knows no server yet.
     *
     * @throws IllegalArgumentException where a setting is missing or contradicts another; it names the
     *     setting
     */
    public Logic(Settings settings, long seed, Actions actions) {
        SettingsCheck.check(settings);
        this.settings = settings;
        this.actions = Objects.requireNonNull(actions, "actions");
        this.random = new SplittableRandom(seed);
        this.tenantQuotas = new TenantQuotas(settings);
        this.lease = ListLease.of(settings.rules(), settings.watch());
        this.latencies = new LatencyStats(settings.classes().size());
        this.minAimUs = settings.classes().stream().mapToLong(RequestClass::aimUs).min().orElseThrow();
        this.minWorth = settings.classes().stream().mapToDouble(RequestClass::worth).min().orElseThrow();
        double price = settings.prices().probe() * settings.tiers();
        double affordable = price > 0 ? MAX_PROBE_COST_FRACTION / price : PROBES_PER_ROUND * MAX_PROBE_ROUNDS;
        this.probesPerRequest = settings.limits().probes() && affordable >= PROBES_PER_ROUND
                ? Math.min(affordable, PROBES_PER_ROUND * MAX_PROBE_ROUNDS) : 0;
        this.savedProbes = probesPerRequest * MAX_PROBE_ROUNDS;
        this.probeLatencyUs = settings.tickUs();
    }

    // ---- the list of servers

    @Override
    public void serversChanged(long nowUs, ListKind kind, List<Server> list, ListFreshness currency) {
        switch (kind) {
            case REMEMBERED -> lease.startFromRememberedList(nowUs);
            case RECENT -> lease.startFromRecentList(nowUs);
            default -> lease.confirm(currency);
        }
        if (kind != ListKind.CHANGES) {
            for (ServerState s : servers) {
                s.up = false;
            }
            drainingIds.clear();
        }
        for (Server line : list) {
            applyServer(nowUs, line);
        }
        servers.forEach(s -> s.listed = s.up);
        servers.removeIf(s -> !s.listed);
        // One that left with calls out is remembered until they end: it may return, and holds them still.
        serversById.values().removeIf(s -> !s.listed && s.inFlight == 0);
        if (!listReceived) {
            listReceived = true;
            watchRequestAtUs = settings.watch() ? nowUs : Long.MAX_VALUE;
        } else if (settings.watch()) {
            watching = true;
            discoveryFailures = 0;
            watchRequestAtUs = Long.MAX_VALUE;
        }
        advance(nowUs);
    }

    private void applyServer(long nowUs, Server line) {
        ServerState s = serversById.get(line.id());
        drainingIds.remove(line.id());
        if (line.status() != ServerStatus.UP) {
            boolean drains = line.status() == ServerStatus.DRAINING;
            if (s != null) {
                s.up = false;
                s.draining = drains;
            }
            if (drains) {
                drainingIds.add(line.id());
                closeIdle(line.id());
            }
            return;
        }
        if (s == null || line.startedAtUs() != s.startedAtUs) {
            servers.remove(s);
            s = new ServerState(line.id());
            s.startedAtUs = line.startedAtUs();
            s.zone = line.zone();
            s.turnAtUs = crossZoneRank(s) > 0 ? nowUs + (long) (random.nextDouble() * roundTimeUs(nowUs) * crossZoneRank(s))
                    : Long.MIN_VALUE + random.nextLong(1L << 32);
            serversById.put(s.id, s);
        }
        s.zone = line.zone();
        s.group = line.group();
        s.model = line.model();
        s.up = true;
        s.draining = false;
        if (!s.listed) {
            s.listed = true;
            int at = servers.size();
            while (at > 0 && sortsAfter(servers.get(at - 1), s)) {
                at--;
            }
            servers.add(at, s);
            if (listReceived || capacityFraction(s, nowUs) < 1) {
                scheduleSlowStart(nowUs, s);
            }
        }
    }

    /**
     * A server that drains must not be kept up by idle connections: they are closed at the notice, and those
     * in use then at the outcome that ends their use.
     */
    private void closeIdle(String server) {
        if (settings.rules().closeWithinUs() > 0) {
            actions.closeIdle(server);
        }
    }

    /** The order of the list: near servers first, then by a place that is the same at every copy. */
    private boolean sortsAfter(ServerState a, ServerState b) {
        return crossZoneRank(a) != crossZoneRank(b) ? crossZoneRank(a) > crossZoneRank(b) : a.hashOrder > b.hashOrder;
    }

    /**
     * A new server would be the earliest assigned at every copy at once. It takes the place in the round of
     * one chosen at random, and while it is cold only a part of the copies use it: with many of them, a round
     * of each takes so long that a wait measured in rounds would starve it.
     */
    private void scheduleSlowStart(long nowUs, ServerState s) {
        int any = random.nextInt(servers.size());
        for (int i = 0; i < servers.size(); i++) {
            ServerState other = servers.get((any + i) % servers.size());
            if (other != s && crossZoneRank(other) == crossZoneRank(s)) {
                s.turnAtUs = other.turnAtUs;
                break;
            }
        }
        s.admitAtUs = Math.min(nowUs + (long) (random.nextDouble() * turnIntervalUs(s, nowUs)),
                warmEnoughAtUs(s, random.nextDouble()));
    }

    /** When a cold server will safely bear this part of a usual share. */
    private long warmEnoughAtUs(ServerState s, double part) {
        Rules rules = settings.rules();
        double needed = Math.min(1, part / (rules.tipMultiple() * COLD_LOAD_FRACTION)) - rules.coldFrom();
        return s.startedAtUs + (long) (Math.max(0, needed) / (1 - rules.coldFrom()) * rules.coldUs());
    }

    /** The share of its capacity that a server can be trusted to have by now. */
    private double capacityFraction(ServerState s, long nowUs) {
        Rules rules = settings.rules();
        long age = nowUs - s.startedAtUs;
        if (s.startedAtUs <= 0 || age >= rules.coldUs()) {
            return 1;
        }
        return rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, age) / rules.coldUs();
    }

    /**
     * Time between two turns of a cold server, in a round over all servers at this copy's pace. If every
     * copy keeps it, the server gets no more than a safe part of what would push it over, taking it that a
     * warm one can do at least what it is sent now.
     */
    private double turnIntervalUs(ServerState s, long nowUs) {
        double fair = capacityFraction(s, nowUs) * settings.rules().tipMultiple() * COLD_LOAD_FRACTION;
        return roundTimeUs(nowUs) * Math.max(1, 1 / fair);
    }

    /** Time in which this copy goes round all servers. */
    private double roundTimeUs(long nowUs) {
        return (meanSendGapUs > 0 ? meanSendGapUs : settings.classes().get(0).aimUs()) * Math.max(1, subsetSize(nowUs));
    }

    /**
     * How many servers this copy goes round. Where many copies send to each server and no probe tells what
     * the others sent, own calls in flight say nothing; and where a connection carries one call, those of
     * many copies fill a server up, even idle. So each copy then keeps to the few servers that follow its
     * own place in the list, which spreads the copies evenly. Where probes tell, more are used, but not all
     * of hundreds: ranking them for each call costs too much. A server that rests is stepped over.
     */
    private int subsetSize(long nowUs) {
        int all = servers.size();
        boolean told = usesReports(nowUs) && settings.limits().callsPerConnection() > 1;
        double fair = Math.ceil(COPIES_PER_SERVER * all / settings.copies());
        return (int) Math.min(all, Math.max(told ? MIN_PROBED_SUBSET_SIZE : MIN_SUBSET_SIZE, fair));
    }

    /**
     * How much longer than usual the server's calls take. Among idle servers all that is left of the order
     * is the turn: were it kept by assignment alone, slow servers would get as many calls as fast ones.
     */
    private double slowdown(ServerState s) {
        return s.loadSum == 0 || latencies.unitLatencyUs() == 0 ? 1
                : Math.min(MAX_SLOWDOWN, Math.max(1 / MAX_SLOWDOWN, s.unitLatencyUs() / latencies.unitLatencyUs()));
    }

    /** Where crossing zones has a price, servers of other zones come some rounds later. */
    private double crossZoneRank(ServerState s) {
        return settings.prices().crossZone() > 0 && s.zone != settings.zone() ? CROSS_ZONE_ROUNDS : 0;
    }

    @Override
    public void discoveryFailed(long nowUs) {
        lease.watchLost(nowUs);
        if (!settings.watch()) {
            return;
        }
        watching = false;
        long pause = DISCOVERY_RETRY_DELAY_US << Math.min(discoveryFailures++, 6);
        long most = settings.rules().askWithinUs() > 0 ? settings.rules().askWithinUs() / 4 : pause;
        watchRequestAtUs = nowUs + (long) (Math.min(pause, most) * (0.5 + random.nextDouble()));
        advance(nowUs);
    }

    @Override
    public void listCurrent(long nowUs, ListFreshness currency) {
        lease.confirm(currency);
        advance(nowUs);
    }

    @Override
    public void listPending(long sinceUs) {
        lease.markPending(sinceUs);
    }

    @Override
    public void listUnread(long sinceUs) {
        lease.markUnread(sinceUs);
    }

    @Override
    public void listRead(long nowUs) {
        lease.markRead();
        advance(nowUs);
    }

    @Override
    public void discoveryTurnedAway() {
        lease.discoveryRejectedCall();
    }

    @Override
    public void discoveryReached() {
        lease.discoveryReached();
    }

    @Override
    public void discoveryMoved(long nowUs, long sinceUs) {
        lease.addressChanged(sinceUs, nowUs);
    }

    @Override
    public boolean mayReach(long nowUs, String server) {
        ServerState s = serversById.get(server);
        return s != null && s.up && lease.usable(nowUs, s.lastAcceptedSendUs);
    }

    // ---- requests and their attempts

    @Override
    public void request(long nowUs, Request request) {
        RequestClass kind = settings.classes().get(request.requestClass());
        double size = 1;
        if (request.workUs() > 0) {
            meanWorkUs += (request.workUs() - meanWorkUs) * (meanWorkUs == 0 ? 1 : MEAN_WEIGHT / 2);
            size = request.workUs() / meanWorkUs;
        }
        size = size > 1 ? 1 + (size - 1) * EXTRA_WORK_FACTOR : size;
        long usefulUs = kind.lateWorth() > 0 ? kind.deadlineUs() : kind.aimUs();
        if (!request.clientRetry()) {
            firstTryTimeoutUs = request.timeLeftUs();
        } else if (Math.abs(request.timeLeftUs() - firstTryTimeoutUs) > settings.tickUs() * 10) {
            // The aim counts from the first try, and a last try has all that is left of the client's time.
            usefulUs -= kind.deadlineUs() - request.timeLeftUs();
        }
        RequestState call = new RequestState(request, kind, nowUs, nowUs + Math.min(request.timeLeftUs(), usefulUs), size);
        call.overQuota = tenantQuotas.overQuota(nowUs, request.tenant());
        requests.put(request.id(), call);
        savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + RETRIES_PER_REQUEST);
        savedProbes = Math.min(savedProbes + probesPerRequest, probesPerRequest * MAX_PROBE_ROUNDS);
        dispatch(nowUs, call);
    }

    /** Sends the call to the server whose turn it is, or lets it wait for one. */
    private void dispatch(long nowUs, RequestState call) {
        if (nowUs + minLatencyUs(call) > call.usefulUntilUs || nowUs >= call.usefulUntilUs) {
            if (!call.queued) {
                // Else one slow spell could make all later calls look hopeless, with nothing learnt.
                latencies.lowerQuickEstimate();
            }
            refuseOrFail(nowUs, call);
            return;
        }
        logListState(nowUs);
        if (!lease.anyServerUsable(nowUs)) {
            waitForList(nowUs, call);
            return;
        }
        ServerState found = usesReports(nowUs) ? pickServer(nowUs, call, ServerFilter.REPORTED_IDLE) : null;
        ServerState s = found != null ? found : pickServer(nowUs, call, ServerFilter.ANY);
        if (found == null && waitsForProbes(nowUs, call)) {
            waiting.add(call);
            scheduleWake(call.probeWaitUntilUs);
        } else if (call.overQuota && (s == null || load(nowUs, s) > 0)) {
            refuseOrFail(nowUs, call);
        } else if (s == null) {
            logRateLimited(nowUs, call.requestClass.name(), " waits: every server it may use is too crowded, rests or is cold");
            call.queued = true;
            call.probeRounds = 0;
            waiting.add(call);
            scheduleWake(Math.min(nextAvailableUs(nowUs), call.usefulUntilUs - (long) minLatencyUs(call)));
        } else {
            send(nowUs, call, s);
        }
    }

    /** One line each time the list of servers may no longer be used, or may be used again. */
    private void logListState(long nowUs) {
        boolean usable = lease.anyServerUsable(nowUs);
        if (usable != listUsable) {
            listUsable = usable;
            actions.log(usable ? "the list of servers is in use"
                    : "the list of servers is not in use, no change that it lacks can be excluded");
        }
    }

    /** Without a list that may be used a call waits for one, but not so long that it cannot go elsewhere. */
    private void waitForList(long nowUs, RequestState call) {
        if (nowUs >= call.listWaitUntilUs) {
            logRateLimited(nowUs, call.requestClass.name(), " is refused: no list of servers is confirmed");
            refuseOrFail(nowUs, call);
        } else {
            waiting.add(call);
            scheduleWake(call.listWaitUntilUs);
        }
    }

    /**
     * Whether the call first waits for probes. With few own calls in flight every server looks idle, those
     * that serve other copies' calls, stall or crawl as well: so the next in turn are asked, and the first
     * found idle is taken. Acts where probes are cheap and quick.
     */
    private boolean waitsForProbes(long nowUs, RequestState call) {
        if (!usesReports(nowUs) || probeLatencyUs > call.requestClass.aimUs() * MAX_PROBE_LATENCY_FRACTION) {
            return false;
        }
        if (nowUs < call.probeWaitUntilUs && anyProbePending(nowUs)) {
            return true;
        }
        int sent = 0;
        int atOnce = meanReportedLoad < LIGHT_LOAD ? 1 : PROBES_PER_ROUND;
        while (call.probeRounds < MAX_PROBE_ROUNDS && sent < atOnce && savedProbes >= 1) {
            ServerState s = pickServer(nowUs, call, ServerFilter.UNKNOWN_LOAD);
            if (s == null) {
                break;
            }
            s.probedAtUs = nowUs;
            savedProbes--;
            sent++;
            actions.probe(s.id);
        }
        call.probeRounds++;
        call.probeWaitUntilUs = nowUs + (long) (PROBE_OVERDUE_FACTOR * probeLatencyUs) + settings.tickUs();
        return sent > 0;
    }

    private boolean anyProbePending(long nowUs) {
        for (ServerState s : servers) {
            if (s.probedAtUs != Long.MIN_VALUE && nowUs - s.probedAtUs < PROBE_OVERDUE_FACTOR * probeLatencyUs
                    + settings.tickUs()) {
                return true;
            }
        }
        return false;
    }

    private void send(long nowUs, RequestState call, ServerState s) {
        if (lastSentAtUs != Long.MIN_VALUE) {
            long gap = nowUs - lastSentAtUs;
            meanSendGapUs += (gap - meanSendGapUs) * (meanSendGapUs == 0 ? 1 : MEAN_WEIGHT);
        }
        lastSentAtUs = nowUs;
        Attempt attempt = new Attempt(call, s, nowUs, load(nowUs, s) + call.relativeWork,
                probesPerRequest == 0 || s.reportValidUntilUs > nowUs);
        call.attempts.add(attempt);
        startResponseTimer(nowUs, attempt);
        call.outstandingAttempts++;
        s.inFlight++;
        double late = Math.min(roundTimeUs(nowUs) * (slowdown(s) - 1), MAX_SLOW_SERVER_DELAY_US) + roundTimeUs(nowUs) * crossZoneRank(s);
        s.turnAtUs = nowUs + (long) late;
        double turnUs = turnIntervalUs(s, nowUs);
        if (turnUs > roundTimeUs(nowUs)) {
            s.admitAtUs = Math.min(nowUs + (long) (turnUs * (0.5 + random.nextDouble())), warmEnoughAtUs(s, 1));
        }
        actions.send(call.original.id(), s.id, call.deadlineUs - nowUs);
    }

    /** From now on its server owes the attempt an answer. */
    private void startResponseTimer(long nowUs, Attempt attempt) {
        if (latencies.unitLatencyUs() > 0) {
            attempt.overdueAtUs = nowUs
                    + (long) (ATTEMPT_OVERDUE_FACTOR * latencies.unitLatencyUs() * attempt.loadAtSend * relativeLatency(attempt.request));
            sentAttempts.add(attempt);
            scheduleWake(sentAttempts.peek().overdueAtUs);
        }
    }

    /**
     * The server whose turn it is among those of the circle that this call may use and that are wanted.
     * Where all near ones are too crowded or slow for it, the circle goes on among the far ones: traffic
     * that moves to one zone must not be refused while others have room.
     */
    private ServerState pickServer(long nowUs, RequestState call, ServerFilter wanted) {
        ServerState best = null;
        int all = servers.size();
        int near = 0;
        while (near < all && crossZoneRank(servers.get(near)) == 0) {
            near++;
        }
        int left = subsetSize(nowUs);
        for (int ring = 0; ring < 2; ring++) {
            int from = ring * near;
            int many = ring == 0 ? near : all - near;
            int first = (int) ((long) settings.copy() * many / settings.copies());
            left = best == null && wanted == ServerFilter.ANY ? subsetSize(nowUs) : left;
            for (int i = 0; i < many && left > 0; i++) {
                ServerState s = servers.get(from + (i + first) % many);
                if (!available(nowUs, call, s)) {
                    continue;
                }
                left--;
                boolean fits = switch (wanted) {
                    case ANY -> hasCapacity(nowUs, call, s);
                    case REPORTED_IDLE -> s.reportValidUntilUs > nowUs && load(nowUs, s) == 0 && !demoted(nowUs, s);
                    case UNKNOWN_LOAD -> s.probedAtUs == Long.MIN_VALUE && s.reportValidUntilUs <= nowUs;
                };
                if (fits && (best == null || better(nowUs, s, best))) {
                    best = s;
                }
            }
        }
        return best;
    }

    private boolean hasCapacity(long nowUs, RequestState call, ServerState s) {
        // Classes that may take longer must not fill the servers up for the others, unless they are worth
        // more. Those worth far more may also crowd a server further, so that under overload the room of the
        // least worth ends first; were they most of the traffic, they would choke it.
        double worth = minWorth > 0 ? call.requestClass.worth() / minWorth : 1;
        double favour = Math.max(1, Math.min(worth / PRIORITY_WORTH_RATIO, MAX_PRIORITY_FACTOR));
        double timeUs = Math.min((call.usefulUntilUs - nowUs) * favour, minAimUs * worth);
        // An idle server is never too slow for long: it would not be seen to recover. Where
        // only own calls tell, others may crowd one that looks idle, so its last calls count for a while.
        boolean idle = assumedLoad(nowUs, s) == 0 && (usesReports(nowUs) || !hasRecentLatency(nowUs, s));
        double expectedUs = expectedLatencyUs(nowUs, call, s);
        // What it takes without a crowd is no waiting: in a chain it may well be a third of the aim.
        double ownUs = Math.min(latencies.classBaselineUs(call.original.requestClass()), expectedUs);
        return idle || belowMinConcurrency(nowUs, s) && !latencies.hasBaseline()
                || expectedUs - ownUs <= (timeUs - ownUs) * MAX_WAIT_FRACTION && !congested(nowUs, call, s, expectedUs);
    }

    /**
     * Whether no more calls are there than a server may always have. Until enough answers tell own time from
     * a crowd, these go out whatever the first took: a copy that starts under full load learns too late else.
     */
    private boolean belowMinConcurrency(long nowUs, ServerState s) {
        double sharers = Math.max(1, (double) settings.copies() * subsetSize(nowUs) / servers.size());
        return load(nowUs, s) * sharers < MIN_SERVER_CONCURRENCY;
    }

    /**
     * Whether one more call would only lengthen the server's queue. The aim may leave room for many calls,
     * yet where they take far longer than when all was calm, a longer queue serves none sooner, and some
     * servers turn slower once crowded and stay so. Such calls wait here, where they can still go to the
     * server that is free first. Where a server's cores share the work, times stay near the calm one and
     * nothing is held. A general slowness from below looks the same: then a copy keeps to its first calls at
     * each server.
     */
    private boolean congested(long nowUs, RequestState call, ServerState s, double expectedUs) {
        return !belowMinConcurrency(nowUs, s) && latencies.meanLatencyUs() > latencies.baselineLatencyUs() * OVERALL_CONGESTION_FACTOR
                && expectedUs > latencies.baselineLatencyUs() * relativeLatency(call) * CONGESTED_FACTOR;
    }

    /** Whether a call to the server ended so lately that its time still counts. */
    private static boolean hasRecentLatency(long nowUs, ServerState s) {
        return s.lastLatencySampleUs != Long.MIN_VALUE && nowUs - s.lastLatencySampleUs < FAILURE_COOLDOWN_US;
    }

    private boolean available(long nowUs, RequestState call, ServerState s) {
        return s.cooldownUntilUs <= nowUs && s.admitAtUs <= nowUs && lease.usable(nowUs, s.lastAcceptedSendUs)
                && mayUse(call, s);
    }

    /**
     * How long the server will take over this call. One too crowded or slow to answer in time counts as
     * resting for it: late work is wasted and keeps the crowd from clearing.
     */
    private double expectedLatencyUs(long nowUs, RequestState call, ServerState s) {
        double usual = latencies.unitLatencyUs() / capacityFraction(s, nowUs);
        double each = hasRecentLatency(nowUs, s) ? s.unitLatencyUs() : s.loadSum > 0 ? Math.min(s.unitLatencyUs(), usual) : usual;
        return each * (assumedLoad(nowUs, s) + call.relativeWork * EXTRA_WORK_FACTOR) * relativeLatency(call);
    }

    /** Calls in flight: this copy's own, or all copies' where the server said so just now. */
    private static int load(long nowUs, ServerState s) {
        return s.reportValidUntilUs > nowUs ? Math.max(s.inFlight, s.reportedLoad) : s.inFlight;
    }

    private int assumedLoad(long nowUs, ServerState s) {
        return s.reportValidUntilUs > nowUs ? load(nowUs, s) : Math.max(s.inFlight, (int) meanReportedLoad);
    }

    /** The least that this call can be hoped to take. */
    private double minLatencyUs(RequestState call) {
        return (call.queued ? latencies.unitLatencyUs() * QUEUED_TIME_FACTOR : latencies.quickUnitLatencyUs()) * call.relativeWork * relativeLatency(call);
    }

    private double relativeLatency(RequestState call) {
        return latencies.relativeLatency(call.original.requestClass());
    }

    /**
     * The order in which servers are taken: idle ones in use; then, demoted or not, those with the fewest
     * calls in flight; among equals the one assigned earliest.
     */
    private boolean better(long nowUs, ServerState a, ServerState b) {
        int loadA = load(nowUs, a);
        int loadB = load(nowUs, b);
        boolean idleA = loadA == 0 && !demoted(nowUs, a);
        boolean idleB = loadB == 0 && !demoted(nowUs, b);
        if (idleA != idleB) {
            return idleA;
        }
        // A server cut off from this copy holds none of its calls; it must not draw all that find others
        // busy.
        loadA += Math.min(MAX_UNANSWERED, a.unansweredProbes + a.overdueAttempts) + (mayNeedConnection(nowUs, a) ? 1 : 0);
        loadB += Math.min(MAX_UNANSWERED, b.unansweredProbes + b.overdueAttempts) + (mayNeedConnection(nowUs, b) ? 1 : 0);
        if (loadA != loadB) {
            return loadA < loadB;
        }
        return a.turnAtUs < b.turnAtUs;
    }

    /**
     * A server that owes an answer to a probe is demoted too: it was asked first, so its turn is the next,
     * and the call that asked would go to the one that stalls or is cut off.
     */
    private boolean demoted(long nowUs, ServerState s) {
        return s.demotedUntilUs > nowUs || mayNeedConnection(nowUs, s)
                || s.probedAtUs != Long.MIN_VALUE && nowUs - s.probedAtUs > PROBE_OVERDUE_FACTOR * probeLatencyUs;
    }

    /**
     * Whether a call there might need a connection while those fail. Where servers take few, answer slowly to
     * new ones or are cut off, calls do best at servers that this copy is connected to. They come first then,
     * and even with a call more. It saves connections for other copies too. One dead server sets it off for
     * some calls; were it to act always, each copy would keep to a few servers without need.
     */
    private boolean mayNeedConnection(long nowUs, ServerState s) {
        return failureRates.connectionsFail() && s.inFlight == 0 && s.lastConnectedUs <= nowUs - settings.limits().keepaliveUs();
    }

    /** Whether the class may run on the server. Where none that may is in use, its calls wait for one. */
    private static boolean placementAllows(RequestClass kind, ServerState s) {
        return (kind.zones() == null || kind.zones().contains(s.zone))
                && (kind.models() == null || kind.models().contains(s.model));
    }

    /**
     * False for servers that are closed to its class, that this call tried before, or that would not drop
     * its repeat.
     */
    private static boolean mayUse(RequestState call, ServerState s) {
        if (!placementAllows(call.requestClass, s)) {
            return false;
        }
        for (Attempt a : call.attempts) {
            if (a.server == s) {
                return false;
            }
        }
        Attempt mayHaveRun = call.firstPossiblyRun();
        if (mayHaveRun == null || call.requestClass.effect() == Effect.SAFE) {
            return true;
        }
        ServerState first = mayHaveRun.server;
        return switch (call.requestClass.group()) {
            case ALL -> true;
            case ZONE -> s.zone == first.zone;
            case CELL -> s.zone == first.zone && s.group == first.group;
        };
    }

    /** Whether the call may be sent once more, after its attempts so far. */
    private boolean mayRetry(long nowUs, RequestState call) {
        if (call.attempts.size() >= settings.limits().maxAttempts() || nowUs >= call.usefulUntilUs || call.bodyNotReplayable) {
            return false;
        }
        Attempt mayHaveRun = call.firstPossiblyRun();
        return mayHaveRun == null || switch (call.requestClass.effect()) {
            case SAFE -> true;
            case KEYED -> nowUs - mayHaveRun.sentAtUs < call.requestClass.dedupWindowUs();
            case UNSAFE -> false;
        };
    }

    @Override
    public void outcome(long nowUs, String id, int number, String server, Outcome outcome, long elapsedUs,
            boolean ended, LoadReport report) {
        Attempt attempt = findOutstanding(id, number);
        if (attempt == null) {
            return;
        }
        RequestState call = attempt.request;
        attempt.outstanding = false;
        attempt.server.inFlight -= attempt.responseStarted ? 0 : 1;
        call.outstandingAttempts--;
        if (attempt.server.draining) {
            closeIdle(attempt.server.id);
        }
        recordOutcome(nowUs, attempt.server, outcome);
        if (outcome == Outcome.OK) {
            recordAccepted(attempt);
        }
        if ((outcome == Outcome.OK || outcome == Outcome.TIMEOUT) && !attempt.responseStarted) {
            recordLatency(nowUs, attempt, outcome == Outcome.OK, elapsedUs);
        } else if (outcome == Outcome.FULL) {
            attempt.server.reportedLoad = FULL_LOAD;
            attempt.server.reportValidUntilUs = nowUs + (long) (latencies.unitLatencyUs() * BUSY_REPORT_FACTOR);
        }
        if (attempt.reportedIdle()) {
            reportTrust.update(nowUs, outcome == Outcome.FULL || outcome == Outcome.TIMEOUT);
        }
        attempt.provedNotRun = outcome.provesNotRun;
        if (outcome == Outcome.TIMEOUT && !attempt.overdue) {
            onUnanswered(nowUs, attempt.server);
        }
        if (ended) {
            call.completed = true;
            cancelOutstanding(call);
        }
        if (!call.completed && call.outstandingAttempts == 0) {
            retryOrEnd(nowUs, call, outcome);
        }
        removeIfCompleted(call);
        advance(nowUs);
    }

    private void recordAccepted(Attempt attempt) {
        attempt.server.lastAcceptedSendUs = Math.max(attempt.server.lastAcceptedSendUs, attempt.sentAtUs);
        lease.requestAccepted(attempt.sentAtUs);
    }

    private Attempt findOutstanding(String id, int number) {
        RequestState call = requests.get(id);
        Attempt attempt = call == null || number >= call.attempts.size() ? null : call.attempts.get(number);
        return attempt == null || !attempt.outstanding ? null : attempt;
    }

    private void recordLatency(long nowUs, Attempt attempt, boolean served, long elapsedUs) {
        if (attempt.loadKnown || latencies.unitLatencyUs() == 0) {
            latencies.add(attempt, served, elapsedUs);
            attempt.server.lastLatencySampleUs = nowUs;
        }
    }

    /** Whether probes tell what servers hold. */
    private boolean usesReports(long nowUs) {
        return probesPerRequest > 0 && reportTrust.trusted(nowUs);
    }

    /**
     * Rests a server that errs far more than the others: answering at once, it always looks idle and draws
     * ever more calls. Errors that all show alike come from a tier below and rest none.
     */
    private void updateErrorRate(long nowUs, ServerState s, boolean error) {
        s.errorRate += ERROR_WEIGHT * ((error ? 1 : 0) - s.errorRate);
        if (!error) {
            s.errorCooldowns = s.errorRate < MAX_ERROR_RATE / 2 ? 0 : s.errorCooldowns;
        } else if (s.errorRate > MAX_ERROR_RATE && s.errorRate > 2 * failureRates.errorRate() && halfStayInUse(nowUs)) {
            s.cooldownUntilUs = nowUs + (FAILURE_COOLDOWN_US << Math.min(s.errorCooldowns++, MAX_BACKOFF_DOUBLINGS));
            s.errorRate = MAX_ERROR_RATE;
            logRateLimited(nowUs, s.id, " rests: it answers with errors far more often than others");
        }
    }

    /** Keeps the tally of failures: only a connection that fails or breaks counts. */
    private void recordOutcome(long nowUs, ServerState s, Outcome outcome) {
        failureRates.update(outcome);
        if (outcome == Outcome.OK || outcome == Outcome.ERROR) {
            updateErrorRate(nowUs, s, outcome == Outcome.ERROR);
        }
        boolean failed = outcome == Outcome.CONNECT_FAILED;
        s.lastConnectedUs = failed || outcome == Outcome.RESET ? Long.MIN_VALUE : nowUs;
        if (outcome == Outcome.OK) {
            s.consecutiveFailures = 0;
            s.overdueAttempts = 0;
            s.demotedUntilUs = Long.MIN_VALUE;
        } else if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET) {
            s.consecutiveFailures++;
            s.demotedUntilUs = nowUs + FAILURE_COOLDOWN_US;
            int surplus = s.consecutiveFailures - failureRates.significantFailures(FAILURES_BEFORE_COOLDOWN);
            if (surplus >= 0) {
                int doublings = Math.min(surplus, MAX_BACKOFF_DOUBLINGS);
                s.cooldownUntilUs = nowUs + (FAILURE_COOLDOWN_US << doublings);
                logRateLimited(nowUs, s.id, " rests: connections to it fail or break");
            }
        }
    }

    /** After an attempt that brought no answer: another server if that is allowed and can be afforded. */
    private void retryOrEnd(long nowUs, RequestState call, Outcome outcome) {
        double price = outcome.provesNotRun ? 0 : 1;
        if (mayRetry(nowUs, call) && savedRetries >= price) {
            savedRetries -= price;
            dispatch(nowUs, call);
        } else {
            refuseOrFail(nowUs, call);
        }
    }

    /**
     * The final answer where no server gave one: a refusal where the client may safely come again, and can
     * be told when or has time left; else a failure.
     */
    private void refuseOrFail(long nowUs, RequestState call) {
        call.completed = true;
        boolean timeLeft = nowUs + minLatencyUs(call) < call.usefulUntilUs;
        long retryAfterUs = settings.limits().maxRetryAfterUs();
        if (mayRefuse(call) && (timeLeft || retryAfterUs > 0)) {
            actions.refuse(call.original.id(), timeLeft ? 0 : retryAfterUs);
        } else {
            actions.fail(call.original.id());
        }
        removeIfCompleted(call);
    }

    private static boolean mayRefuse(RequestState call) {
        return call.firstPossiblyRun() == null || call.requestClass.effect() == Effect.SAFE
                || call.requestClass.effect() == Effect.KEYED && call.requestClass.group() == DedupGroup.ALL;
    }

    private void removeIfCompleted(RequestState call) {
        if (call.completed && call.outstandingAttempts == 0) {
            requests.remove(call.original.id());
        }
    }

    @Override
    public void streamStarted(long nowUs, String id, int attempt, String server, long elapsedUs) {
        Attempt started = findOutstanding(id, attempt);
        if (started == null || started.responseStarted) {
            return;
        }
        // The server has done its work; how long the rest takes is its client's doing.
        started.responseStarted = true;
        started.server.inFlight--;
        recordOutcome(nowUs, started.server, Outcome.OK);
        recordAccepted(started);
        recordLatency(nowUs, started, true, elapsedUs);
        started.request.completed = true;
        cancelOutstanding(started.request);
        advance(nowUs);
    }

    @Override
    public void bodySpent(long nowUs, String id) {
        RequestState call = requests.get(id);
        if (call != null) {
            call.bodyNotReplayable = true;
            call.attempts.forEach(a -> a.uploading = a.outstanding);
        }
    }

    @Override
    public void bodyWritten(long nowUs, String id, int attempt) {
        Attempt written = findOutstanding(id, attempt);
        if (written != null && written.uploading) {
            written.uploading = false;
            startResponseTimer(nowUs, written);
        }
    }

    @Override
    public void clientGone(long nowUs, String id) {
        RequestState call = requests.get(id);
        if (call != null && !call.completed) {
            call.completed = true;
            cancelOutstanding(call);
            removeIfCompleted(call);
            advance(nowUs);
        }
    }

    private void cancelOutstanding(RequestState call) {
        for (int i = 0; i < call.attempts.size() && settings.limits().cancel(); i++) {
            if (call.attempts.get(i).outstanding && !call.attempts.get(i).responseStarted) {
                actions.cancel(call.original.id(), i);
            }
        }
    }

    // ---- servers that do not answer

    /**
     * An attempt is overdue: its server may hang, with connections that stand and probes that are answered.
     * It is demoted, and rests if that happens again with no answer between.
     */
    private void onUnanswered(long nowUs, ServerState s) {
        s.overdueAttempts++;
        s.demotedUntilUs = nowUs + FAILURE_COOLDOWN_US;
        if (probesPerRequest == 0) {
            // A copy with few calls comes round less often than that: the next turn would come as usual.
            long lateUs = (long) Math.min(roundTimeUs(nowUs) * ATTEMPT_OVERDUE_FACTOR, MAX_SLOW_SERVER_DELAY_US);
            s.turnAtUs = Math.max(s.turnAtUs, nowUs + lateUs);
        }
        if (s.overdueAttempts >= MAX_UNANSWERED && halfStayInUse(nowUs)) {
            s.cooldownUntilUs = nowUs + (FAILURE_COOLDOWN_US << Math.min(s.overdueAttempts - MAX_UNANSWERED, MAX_BACKOFF_DOUBLINGS));
            logRateLimited(nowUs, s.id, " rests: calls to it stay unanswered");
        }
    }

    private void logRateLimited(long nowUs, String subject, String text) {
        if (nextLogAtUs <= nowUs) {
            nextLogAtUs = nowUs + LOG_INTERVAL_US;
            actions.log(subject + text);
        }
    }

    /** Whether half of the servers stay in use if one more rests: no false alarm may rest them all. */
    private boolean halfStayInUse(long nowUs) {
        int inUse = 0;
        for (ServerState s : servers) {
            inUse += s.cooldownUntilUs <= nowUs && s.admitAtUs <= nowUs ? 1 : 0;
        }
        return (inUse - 1) * 2 >= servers.size();
    }

    @Override
    public void probeResult(long nowUs, String server, Outcome outcome, long elapsedUs, LoadReport report) {
        ServerState s = serversById.get(server);
        if (s == null) {
            return;
        }
        s.probedAtUs = Long.MIN_VALUE;
        if (outcome == Outcome.OK && report != null) {
            s.unansweredProbes = 0;
            probeLatencyUs += MEAN_WEIGHT * (elapsedUs - probeLatencyUs);
            s.reportedLoad = (int) Math.round(Math.max(report.inFlight(), report.queue()));
            meanReportedLoad += MEAN_WEIGHT * (s.reportedLoad - meanReportedLoad);
            if (s.reportedLoad > 0) {
                // Else servers never idle would be asked first each time, and pass for all others.
                s.turnAtUs = Math.max(s.turnAtUs, nowUs);
            }
            s.reportValidUntilUs = nowUs + (long) (s.reportedLoad > 0 ? s.reportedLoad * latencies.unitLatencyUs() * BUSY_REPORT_FACTOR
                    : PROBE_OVERDUE_FACTOR * probeLatencyUs);
            if (s.consecutiveFailures == 0) {
                s.demotedUntilUs = Long.MIN_VALUE;
            }
        } else if (outcome == Outcome.CONNECT_FAILED) {
            recordOutcome(nowUs, s, outcome);
        } else {
            s.demotedUntilUs = Math.max(s.demotedUntilUs, nowUs + (long) (PROBE_OVERDUE_FACTOR * latencies.unitLatencyUs()));
            s.unansweredProbes++;
            meanReportedLoad -= MEAN_WEIGHT * meanReportedLoad;
        }
        advance(nowUs);
    }

    // ---- time

    @Override
    public void timer(long nowUs) {
        if (wakeAtUs <= nowUs) {
            wakeAtUs = Long.MAX_VALUE;
        }
        advance(nowUs);
    }

    @Override
    public int hostsDown(long nowUs) {
        return drainingIds.size() + (int) servers.stream()
                .filter(s -> s.cooldownUntilUs > nowUs || s.demotedUntilUs > nowUs).count();
    }

    private void scheduleWake(long atUs) {
        if (atUs < wakeAtUs) {
            wakeAtUs = atUs;
            actions.wakeAt(atUs);
        }
    }

    /** When the next server that rests or enters may be used. */
    private long nextAvailableUs(long nowUs) {
        long next = Long.MAX_VALUE;
        for (ServerState s : servers) {
            long at = Math.max(s.cooldownUntilUs, s.admitAtUs);
            if (at <= nowUs) {
                at = s.reportValidUntilUs;
            }
            if (at > nowUs && at < next) {
                next = at;
            }
        }
        return Math.min(next, nowUs + (long) (latencies.unitLatencyUs() * BUSY_REPORT_FACTOR) + settings.tickUs());
    }

    /** Does what has become due: asks discovery, sends what waited, ends what waited too long. */
    private void advance(long nowUs) {
        if (watchRequestAtUs <= nowUs && !watching) {
            watchRequestAtUs = Long.MAX_VALUE;
            actions.watchServers();
        }
        if (watchRequestAtUs != Long.MAX_VALUE) {
            scheduleWake(watchRequestAtUs);
        }
        while (!sentAttempts.isEmpty() && (!sentAttempts.peek().awaitsResponse() || sentAttempts.peek().overdueAtUs <= nowUs)) {
            Attempt oldest = sentAttempts.poll();
            if (oldest.awaitsResponse() && !oldest.overdue) {
                oldest.overdue = true;
                onUnanswered(nowUs, oldest.server);
            }
        }
        if (!sentAttempts.isEmpty()) {
            scheduleWake(sentAttempts.peek().overdueAtUs);
        }
        if (!waiting.isEmpty()) {
            // The newest first: under overload those that waited longest would mostly be late.
            ArrayDeque<RequestState> held = new ArrayDeque<>(waiting);
            waiting.clear();
            while (!held.isEmpty()) {
                RequestState call = held.pollLast();
                if (!call.completed) {
                    dispatch(nowUs, call);
                }
            }
        }
    }
}
