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
 * Makes all decisions of the balancer: server selection, retries, probes, slow start and load shedding. The
 * types, events and actions are declared in {@link Balancer}. A copy is one of the instances of this class,
 * in different proxies, that send to the same tier of servers.
 *
 * <p>While nothing fails, a request goes to the server with the fewest of this copy's own requests in flight,
 * and among equals to the server to which a request was assigned least recently; see {@link #ranksBefore}.
 * All other rules of this class are about failures and limits.
 */
public final class Logic implements Balancer {

    /**
     * Number of failures in a row that start a server's cooldown while few connections break: one failure may
     * be chance, two are not.
     */
    private static final int FAILURES_BEFORE_COOLDOWN = 2;
    /**
     * Length of a server's first cooldown, in which the server gets no requests. A server's restart takes
     * some seconds, and a few failed attempts a minute do no harm.
     */
    private static final long FAILURE_COOLDOWN_US = 3_000_000;
    /**
     * Number of retries that each request adds to the retry budget, so that retries add at most a tenth of
     * the load in the long run.
     */
    private static final double RETRIES_PER_REQUEST = 0.1;
    /** Maximum number of retries that are saved up for a burst of failures. */
    private static final double MAX_RETRY_BUDGET = 5;
    /**
     * Delay before the first repetition of a failed call to discovery; each further failure doubles the
     * delay.
     */
    private static final long DISCOVERY_RETRY_DELAY_US = 250_000;
    /**
     * Maximum cost of the probes of all tiers, as a fraction of the worth of all requests. No probes are sent
     * if two probes per request would cost more.
     */
    private static final double MAX_PROBE_COST_TO_WORTH = 0.02;
    /**
     * Maximum number of probes sent at the same time for a request: one probe may be lost or slow, and more
     * than two would mostly be wasted.
     */
    private static final int PROBES_PER_ROUND = 2;
    /**
     * Mean load, in requests per server, below which a round has only one probe, as one is usually enough.
     */
    private static final double MAX_LOAD_FOR_SINGLE_PROBE = 0.25;
    /**
     * Maximum number of rounds of probes for a request. After these rounds, the request is sent to the best
     * server known.
     */
    private static final int MAX_PROBE_ROUNDS = 3;
    /**
     * Probes are sent for a request only while the mean probe latency is at most this fraction of the
     * request's target latency.
     */
    private static final double MAX_PROBE_LATENCY_FRACTION = 0.02;
    /** The reply to a probe is overdue after this multiple of the mean probe latency. */
    private static final double PROBE_OVERDUE_FACTOR = 3;
    /**
     * A busy server's load report is valid for this fraction of the time that the reported requests take.
     * Most of the reported work is still left at the end of this time.
     */
    private static final double BUSY_REPORT_FACTOR = 0.25;
    /**
     * Weight of the part of a request's expected work that exceeds the usual work. The expectation may be
     * wrong, and work causes only part of the latency.
     */
    private static final double EXTRA_WORK_FACTOR = 0.5;
    /**
     * Maximum expected wait of a request at a server, as a fraction of the time that the request has left
     * beyond the baseline latency. The longest waits far exceed the mean wait.
     */
    private static final double MAX_SPARE_TIME_FRACTION = 0.36;
    /**
     * Maximum factor by which priority lengthens the allowed wait of requests of higher worth, so that
     * requests of least worth are shed first.
     */
    private static final double MAX_WAIT_FACTOR_BY_PRIORITY = 2;
    /**
     * Number of requests that all copies together may always have in flight at a server, to keep the server's
     * cores busy.
     */
    private static final double MIN_SERVER_CONCURRENCY = 4;
    /**
     * A server is congested if the next request would take more than this multiple of the baseline latency,
     * which is the latency without congestion. Values from 2 to 3 have the same effect.
     */
    private static final double CONGESTED_FACTOR = 2.3;
    /**
     * No server is congested while the mean latency over all servers is below this multiple of the baseline
     * latency: a burst of requests after a time of little load is no congestion.
     */
    private static final double OVERALL_CONGESTION_FACTOR = 1.3;
    /**
     * Classes whose worth is at most this multiple of the lowest worth get no priority, as they may be half
     * of all traffic.
     */
    private static final double PRIORITY_WORTH_RATIO = 4;
    /**
     * A slow server gets turns at most this many times less often than the usual server, and a quick server
     * at most this many times more often.
     */
    private static final double MAX_SLOWDOWN = 20;
    /**
     * All copies together send a cold server, which started a short time ago, at most this fraction of the
     * load that would overload it.
     */
    private static final double COLD_LOAD_FRACTION = 0.5;
    /**
     * A queued request is sent only while it has at least this multiple of the usual latency left. Half of
     * the requests that are sent at the last moment would be late.
     */
    private static final double MIN_QUEUED_TIME_FACTOR = 1.4;
    /** Maximum number of times that a server's cooldown is doubled; each further failure doubles it once. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    /** An attempt is overdue after this multiple of the expected latency, as latencies spread widely. */
    private static final double ATTEMPT_OVERDUE_FACTOR = 5;
    /**
     * Number of overdue attempts in a row that start a server's cooldown. When servers are ranked, overdue
     * attempts and unanswered probes count as additional load, up to this number.
     */
    private static final int MAX_UNANSWERED = 2;
    /**
     * Number of rounds by which the turn of a server in another zone is postponed, so that servers in this
     * copy's zone are used first. In a round, this copy sends one request to each server of its subset.
     */
    private static final double CROSS_ZONE_DELAY_ROUNDS = 1;
    /** Weight of the newest response in the running mean of a server's error rate. */
    private static final double ERROR_WEIGHT = 0.2;
    /** Error rate above which a server may enter a cooldown. */
    private static final double MAX_ERROR_RATE = 0.35;
    /**
     * Maximum time for which a slow server gets no request. After this time, the server may have recovered.
     */
    private static final double MAX_SLOW_SERVER_DELAY_US = 24_000_000;
    /**
     * Number of requests in flight that is assumed for a server that rejected a request because it is full.
     */
    private static final int FULL_LOAD = 1000;
    /**
     * Number of copies that use each server if no reports show the server's load: each of these copies should
     * see most of that load in its own requests.
     */
    private static final double COPIES_PER_SERVER = 2;
    /**
     * Minimum number of servers that a copy uses: with fewer servers, one slow or dead server has too much
     * effect.
     */
    private static final int MIN_SUBSET_SIZE = 4;
    /**
     * Minimum number of servers that a copy uses if probes report load: enough to find an idle server, few
     * enough to rank for each request.
     */
    private static final int MIN_PROBED_SUBSET_SIZE = 24;
    /** Minimum time between two rate-limited log lines, as failures come in bursts. */
    private static final long LOG_INTERVAL_US = 10_000_000;

    /**
     * Which servers a selection considers: any server, servers reported as idle, or servers of unknown load.
     */
    private enum ServerFilter { ANY, REPORTED_IDLE, UNKNOWN_LOAD }

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<String, ServerState> serversById = new HashMap<>();
    /** Ids of the servers that drain according to discovery's list. */
    private final Set<String> drainingIds = new HashSet<>();
    private final List<ServerState> servers = new ArrayList<>();
    private final Map<String, RequestState> requests = new HashMap<>();
    /** Requests that wait for a server, for replies to probes or for a list of servers. */
    private final ArrayDeque<RequestState> waiting = new ArrayDeque<>();
    /** Attempts in the order in which they were sent, to find overdue attempts. */
    private final ArrayDeque<Attempt> sentAttempts = new ArrayDeque<>();
    private final ReportTrust reportTrust =
            new ReportTrust(FAILURE_COOLDOWN_US, ERROR_WEIGHT, MAX_ERROR_RATE);
    private final FailureRates failureRates = new FailureRates();
    private final ListLease lease;
    /** The shortest target latency of all classes. */
    private final double minAimUs;
    private final double minWorth;
    private double retryBudget = MAX_RETRY_BUDGET;
    private long wakeAtUs = Long.MAX_VALUE;
    private boolean listReceived;
    private boolean watching;
    private boolean listUsable = true;
    private long nextLogAtUs = Long.MIN_VALUE;
    private long watchRequestAtUs = Long.MAX_VALUE;
    private int discoveryFailures;
    /** Number of probes per request that the price of a probe allows; 0 if no probes are sent. */
    private final double probesPerRequest;
    private double probeBudget;
    private double probeLatencyUs;
    /** Mean load that probed servers reported; assumed as the load of a server without a valid report. */
    private double meanReportedLoad;
    private final LatencyStats latencies;
    private double meanWorkUs;
    /**
     * How long a client waits for a response to its first try, in microseconds, taken from the latest first
     * try of any client. A request counts as a first try unless its client marked it as a retry.
     */
    private double firstTryTimeoutUs;
    private final TenantQuotas tenantQuotas;
    private double meanSendGapUs;
    private long lastSentAtUs = Long.MIN_VALUE;

    /**
     * Creates the balancer of one copy. It knows no servers yet.
     *
     * @throws IllegalArgumentException if a setting is missing or contradicts another; the message names the
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
        double affordable = price > 0 ? MAX_PROBE_COST_TO_WORTH / price : PROBES_PER_ROUND * MAX_PROBE_ROUNDS;
        this.probesPerRequest = settings.limits().probes() && affordable >= PROBES_PER_ROUND
                ? Math.min(affordable, PROBES_PER_ROUND * MAX_PROBE_ROUNDS) : 0;
        this.probeBudget = probesPerRequest * MAX_PROBE_ROUNDS;
        this.probeLatencyUs = settings.tickUs();
    }

    // ---- the list of servers

    @Override
    public void serversChanged(long nowUs, ListKind kind, List<Server> list, ListFreshness freshness) {
        switch (kind) {
            case REMEMBERED -> lease.startFromRememberedList(nowUs);
            case RECENT -> lease.startFromRecentList(nowUs);
            default -> lease.confirm(freshness);
        }
        if (kind != ListKind.CHANGES) {
            for (ServerState server : servers) {
                server.up = false;
            }
            drainingIds.clear();
        }
        for (Server entry : list) {
            applyServer(nowUs, entry);
        }
        servers.forEach(server -> server.listed = server.up);
        servers.removeIf(server -> !server.listed);
        // A removed server is kept until its attempts end, as it may be listed again before that.
        serversById.values().removeIf(server -> !server.listed && server.inFlight + server.uploads == 0);
        if (!listReceived) {
            listReceived = true;
            watchRequestAtUs = settings.watch() ? nowUs : Long.MAX_VALUE;
        } else if (settings.watch()) {
            watching = true;
            discoveryFailures = 0;
            watchRequestAtUs = Long.MAX_VALUE;
        }
        performDueWork(nowUs);
    }

    private void applyServer(long nowUs, Server entry) {
        ServerState server = serversById.get(entry.id());
        drainingIds.remove(entry.id());
        if (entry.status() != ServerStatus.UP) {
            boolean drains = entry.status() == ServerStatus.DRAINING;
            if (server != null) {
                server.up = false;
                server.draining = drains;
            }
            if (drains) {
                drainingIds.add(entry.id());
                closeIdle(entry.id());
            }
            return;
        }
        if (server == null || entry.startedAtUs() != server.startedAtUs) {
            servers.remove(server);
            server = new ServerState(entry.id());
            server.startedAtUs = entry.startedAtUs();
            server.zone = entry.zone();
            server.turnAtUs = crossZoneDelayRounds(server) > 0
                    ? nowUs + (long) (random.nextDouble() * roundTimeUs(nowUs) * crossZoneDelayRounds(server))
                    : Long.MIN_VALUE + random.nextLong(1L << 32);
            serversById.put(server.id, server);
        }
        server.zone = entry.zone();
        server.group = entry.group();
        server.model = entry.model();
        server.up = true;
        server.draining = false;
        if (!server.listed) {
            server.listed = true;
            int index = servers.size();
            while (index > 0 && sortsAfter(servers.get(index - 1), server)) {
                index--;
            }
            servers.add(index, server);
            if (listReceived || capacityFraction(server, nowUs) < 1) {
                scheduleSlowStart(nowUs, server);
            }
        }
    }

    /**
     * Closes the idle connections to a draining server, as open connections would keep the server from
     * stopping. This method is called when the drain is notified, and again after each later outcome, to
     * close the connection that the attempt no longer uses.
     */
    private void closeIdle(String serverId) {
        if (settings.rules().closeWithinUs() > 0) {
            actions.closeIdle(serverId);
        }
    }

    /**
     * Returns whether server a comes after server b in the list. Servers in this copy's zone come first,
     * unless crossing zones is free. Servers that this does not separate are ordered by the hash of their id,
     * so the order is the same at every copy.
     */
    private boolean sortsAfter(ServerState a, ServerState b) {
        return crossZoneDelayRounds(a) != crossZoneDelayRounds(b)
                ? crossZoneDelayRounds(a) > crossZoneDelayRounds(b)
                : a.hashOrder > b.hashOrder;
    }

    /**
     * Sets when a newly listed server gets its first request. If turns went by assignment time alone, the
     * server would be next at every copy at once, so the new server gets the turn of another server chosen at
     * random. With many copies, a round takes so long that a wait of whole rounds would leave a cold server
     * without requests. So each copy admits the server at a random time, and only some of the copies use the
     * server while it is cold.
     */
    private void scheduleSlowStart(long nowUs, ServerState server) {
        int start = random.nextInt(servers.size());
        for (int i = 0; i < servers.size(); i++) {
            ServerState other = servers.get((start + i) % servers.size());
            if (other != server && crossZoneDelayRounds(other) == crossZoneDelayRounds(server)) {
                server.turnAtUs = other.turnAtUs;
                break;
            }
        }
        server.admitAtUs = Math.min(nowUs + (long) (random.nextDouble() * turnIntervalUs(server, nowUs)),
                warmEnoughAtUs(server, random.nextDouble()));
    }

    /**
     * Returns the time at which a cold server is warm enough to safely take a given fraction of a usual
     * server's load, in microseconds.
     */
    private long warmEnoughAtUs(ServerState server, double fraction) {
        Rules rules = settings.rules();
        double extraCapacity =
                Math.min(1, fraction / (rules.tipMultiple() * COLD_LOAD_FRACTION)) - rules.coldFrom();
        return server.startedAtUs
                + (long) (Math.max(0, extraCapacity) / (1 - rules.coldFrom()) * rules.coldUs());
    }

    /** Returns the fraction of its full capacity that a server is assumed to have now. */
    private double capacityFraction(ServerState server, long nowUs) {
        Rules rules = settings.rules();
        long ageUs = nowUs - server.startedAtUs;
        if (server.startedAtUs <= 0 || ageUs >= rules.coldUs()) {
            return 1;
        }
        return rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, ageUs) / rules.coldUs();
    }

    /**
     * Returns the time between two turns of a cold server at this copy. If every copy keeps to this interval,
     * the server gets only a safe fraction of the load that would overload it, provided that a warm server
     * can take its present load.
     */
    private double turnIntervalUs(ServerState server, long nowUs) {
        double safeLoad =
                capacityFraction(server, nowUs) * settings.rules().tipMultiple() * COLD_LOAD_FRACTION;
        return roundTimeUs(nowUs) * Math.max(1, 1 / safeLoad);
    }

    /** Returns the length of a round, in which this copy sends one request to each server of its subset. */
    private double roundTimeUs(long nowUs) {
        return (meanSendGapUs > 0 ? meanSendGapUs : settings.classes().get(0).aimUs())
                * Math.max(1, subsetSize(nowUs));
    }

    /**
     * Returns the size of this copy's subset, the servers that it uses. If many copies send to a server and
     * no probe reports its load, a copy's own requests in flight tell little about that load. If a connection
     * carries one request at a time, the connections of many copies exhaust a server even while they are
     * idle. So each copy uses only a few servers. Its subset starts at a position in the list that depends on
     * the copy's index, which spreads the copies evenly. If probes report load, the subset is larger, but it
     * does not hold hundreds of servers, as ranking them for each request costs too much. Servers in cooldown
     * are skipped and do not count.
     */
    private int subsetSize(long nowUs) {
        int all = servers.size();
        boolean reported = usesReports(nowUs) && settings.limits().callsPerConnection() > 1;
        double evenSize = Math.ceil(COPIES_PER_SERVER * all / settings.copies());
        return (int) Math.min(all, Math.max(reported ? MIN_PROBED_SUBSET_SIZE : MIN_SUBSET_SIZE, evenSize));
    }

    /**
     * Returns a server's latency as a multiple of the usual latency. A server's turns depend on this multiple
     * because idle servers are ordered by turn only: if turns went by assignment time alone, slow servers
     * would get as many requests as quick servers.
     */
    private double slowdown(ServerState server) {
        return server.loadSum == 0 || latencies.unitLatencyUs() == 0 ? 1 : Math.min(MAX_SLOWDOWN,
                Math.max(1 / MAX_SLOWDOWN, server.unitLatencyUs() / latencies.unitLatencyUs()));
    }

    /**
     * Returns the number of rounds by which a server's turn is postponed because the server is in another
     * zone. The result is 0 for a server in this copy's zone, and for all servers if crossing zones is free.
     */
    private double crossZoneDelayRounds(ServerState server) {
        return settings.prices().crossZone() > 0 && server.zone != settings.zone()
                ? CROSS_ZONE_DELAY_ROUNDS : 0;
    }

    @Override
    public void discoveryFailed(long nowUs) {
        lease.watchLost(nowUs);
        if (!settings.watch()) {
            return;
        }
        watching = false;
        long delay = DISCOVERY_RETRY_DELAY_US << Math.min(discoveryFailures++, 6);
        long maxDelay = settings.rules().askWithinUs() > 0 ? settings.rules().askWithinUs() / 4 : delay;
        watchRequestAtUs = nowUs + (long) (Math.min(delay, maxDelay) * (0.5 + random.nextDouble()));
        performDueWork(nowUs);
    }

    @Override
    public void listCurrent(long nowUs, ListFreshness freshness) {
        lease.confirm(freshness);
        performDueWork(nowUs);
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
        performDueWork(nowUs);
    }

    @Override
    public void discoveryTurnedAway() {
        // Discovery's queue is full, so this call is repeated later than one that has waited.
        discoveryFailures++;
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
    public boolean mayReach(long nowUs, String serverId) {
        ServerState server = serversById.get(serverId);
        return server != null && server.up && lease.usable(nowUs);
    }

    // ---- requests and their attempts

    @Override
    public void request(long nowUs, Request request) {
        RequestClass requestClass = settings.classes().get(request.requestClass());
        double relativeWork = 1;
        if (request.workUs() > 0) {
            meanWorkUs += (request.workUs() - meanWorkUs) * (meanWorkUs == 0 ? 1 : MEAN_WEIGHT / 2);
            relativeWork = request.workUs() / meanWorkUs;
        }
        relativeWork = relativeWork > 1 ? 1 + (relativeWork - 1) * EXTRA_WORK_FACTOR : relativeWork;
        long usefulUs = requestClass.lateWorth() > 0 ? requestClass.deadlineUs() : requestClass.aimUs();
        if (!request.clientRetry()) {
            firstTryTimeoutUs = request.timeLeftUs();
        } else if (Math.abs(request.timeLeftUs() - firstTryTimeoutUs) > settings.tickUs() * 10) {
            // The target latency counts from the client's first request, not from this retry. A last retry
            // has all the time that the client has left, which tells when the client sent the first request.
            usefulUs -= requestClass.deadlineUs() - request.timeLeftUs();
        }
        RequestState state = new RequestState(request, requestClass, nowUs,
                nowUs + Math.min(request.timeLeftUs(), usefulUs), relativeWork);
        state.overQuota = tenantQuotas.exceedsQuota(nowUs, request.tenant());
        requests.put(request.id(), state);
        retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRIES_PER_REQUEST);
        probeBudget = Math.min(probeBudget + probesPerRequest, probesPerRequest * MAX_PROBE_ROUNDS);
        dispatch(nowUs, state);
    }

    /**
     * Sends a request to the best server, or lets the request wait for a server, for replies to probes or for
     * a list. If no response can be in time, or if the request is over quota and no server is idle, this
     * method ends the request.
     */
    private void dispatch(long nowUs, RequestState request) {
        if (nowUs + minLatencyUs(request) > request.usefulUntilUs || nowUs >= request.usefulUntilUs) {
            if (!request.queued) {
                // Without this, after one slow period all later requests could end unsent, so that no new
                // sample would correct the estimate.
                latencies.lowerQuickEstimate();
            }
            refuseOrFail(nowUs, request);
            return;
        }
        logListState(nowUs);
        if (!lease.usable(nowUs)) {
            waitForList(nowUs, request);
            return;
        }
        ServerState idle =
                usesReports(nowUs) ? pickServer(nowUs, request, ServerFilter.REPORTED_IDLE) : null;
        ServerState server = idle != null ? idle : pickServer(nowUs, request, ServerFilter.ANY);
        if (idle == null && sendProbesIfNeeded(nowUs, request)) {
            waiting.add(request);
            scheduleWake(request.probeWaitUntilUs);
        } else if (request.overQuota && (server == null || load(nowUs, request, server) > 0)) {
            refuseOrFail(nowUs, request);
        } else if (server == null) {
            logRateLimited(nowUs, request.requestClass.name(),
                    " waits: every server it may use is too crowded, rests or is cold");
            request.queued = true;
            request.probeRounds = 0;
            waiting.add(request);
            scheduleWake(Math.min(nextAvailableUs(nowUs),
                    request.usefulUntilUs - (long) minLatencyUs(request)));
        } else {
            send(nowUs, request, server);
        }
    }

    /** Logs when the list of servers becomes usable or unusable. */
    private void logListState(long nowUs) {
        boolean usable = lease.usable(nowUs);
        if (usable != listUsable) {
            listUsable = usable;
            actions.log(usable ? "the list of servers is in use"
                    : "the list of servers is not in use, no change that it lacks can be excluded");
        }
    }

    /**
     * Lets a request wait until the list of servers may be used. If that takes too long, refuses the request
     * in time for its client to go elsewhere.
     */
    private void waitForList(long nowUs, RequestState request) {
        if (nowUs >= request.listWaitUntilUs) {
            logRateLimited(nowUs, request.requestClass.name(),
                    " is refused: no list of servers is confirmed");
            refuseOrFail(nowUs, request);
        } else {
            waiting.add(request);
            scheduleWake(request.listWaitUntilUs);
        }
    }

    /**
     * Sends probes for a request if they are cheap and quick, and returns whether the request waits for
     * replies. While this copy has few requests in flight, every server looks idle, even one that is stalled,
     * slow or busy with other copies' requests. So the servers next in turn are probed, and the first one
     * found idle is used.
     */
    private boolean sendProbesIfNeeded(long nowUs, RequestState request) {
        if (!usesReports(nowUs)
                || probeLatencyUs > request.requestClass.aimUs() * MAX_PROBE_LATENCY_FRACTION) {
            return false;
        }
        if (nowUs < request.probeWaitUntilUs && anyProbePending(nowUs)) {
            return true;
        }
        int sent = 0;
        int maxProbes = meanReportedLoad < MAX_LOAD_FOR_SINGLE_PROBE ? 1 : PROBES_PER_ROUND;
        while (request.probeRounds < MAX_PROBE_ROUNDS && sent < maxProbes && probeBudget >= 1) {
            ServerState server = pickServer(nowUs, request, ServerFilter.UNKNOWN_LOAD);
            if (server == null) {
                break;
            }
            server.probedAtUs = nowUs;
            probeBudget--;
            sent++;
            actions.probe(server.id);
        }
        request.probeRounds++;
        request.probeWaitUntilUs = nowUs + (long) (PROBE_OVERDUE_FACTOR * probeLatencyUs) + settings.tickUs();
        return sent > 0;
    }

    private boolean anyProbePending(long nowUs) {
        for (ServerState server : servers) {
            if (server.probedAtUs != Long.MIN_VALUE
                    && nowUs - server.probedAtUs < PROBE_OVERDUE_FACTOR * probeLatencyUs
                    + settings.tickUs()) {
                return true;
            }
        }
        return false;
    }

    private void send(long nowUs, RequestState request, ServerState server) {
        if (lastSentAtUs != Long.MIN_VALUE) {
            long gapUs = nowUs - lastSentAtUs;
            meanSendGapUs += (gapUs - meanSendGapUs) * (meanSendGapUs == 0 ? 1 : MEAN_WEIGHT);
        }
        lastSentAtUs = nowUs;
        Attempt attempt = new Attempt(request, server, nowUs,
                load(nowUs, request, server) + request.relativeWork,
                probesPerRequest == 0 || server.reportValidUntilUs > nowUs);
        request.attempts.add(attempt);
        startResponseTimer(nowUs, attempt);
        request.outstandingAttempts++;
        server.inFlight++;
        double delayUs = Math.min(roundTimeUs(nowUs) * (slowdown(server) - 1), MAX_SLOW_SERVER_DELAY_US)
                + roundTimeUs(nowUs) * crossZoneDelayRounds(server);
        server.turnAtUs = nowUs + (long) delayUs;
        double turnIntervalUs = turnIntervalUs(server, nowUs);
        if (turnIntervalUs > roundTimeUs(nowUs)) {
            server.admitAtUs = Math.min(nowUs + (long) (turnIntervalUs * (0.5 + random.nextDouble())),
                    warmEnoughAtUs(server, 1));
        }
        actions.send(request.original.id(), server.id, request.deadlineUs - nowUs);
    }

    /** Sets when an attempt becomes overdue if its server has not answered by then. */
    private void startResponseTimer(long nowUs, Attempt attempt) {
        if (latencies.unitLatencyUs() > 0) {
            attempt.overdueAtUs = nowUs + (long) (ATTEMPT_OVERDUE_FACTOR * latencies.unitLatencyUs()
                    * attempt.loadAtSend * relativeLatency(attempt.request));
            sentAttempts.add(attempt);
            scheduleWake(sentAttempts.peek().overdueAtUs);
        }
    }

    /**
     * Returns the best server of the subset that a request may use and that matches the filter, or null if
     * there is none. If all servers of this copy's zone are too congested or slow for the request, a subset
     * of the other zones' servers is tried: traffic that moves to one zone must not be refused while other
     * zones have capacity.
     */
    private ServerState pickServer(long nowUs, RequestState request, ServerFilter filter) {
        ServerState best = null;
        int all = servers.size();
        int sameZone = 0;
        while (sameZone < all && crossZoneDelayRounds(servers.get(sameZone)) == 0) {
            sameZone++;
        }
        int remaining = subsetSize(nowUs);
        for (int pass = 0; pass < 2; pass++) {
            int from = pass * sameZone;
            int count = pass == 0 ? sameZone : all - sameZone;
            int first = (int) ((long) settings.copy() * count / settings.copies());
            remaining = best == null && filter == ServerFilter.ANY ? subsetSize(nowUs) : remaining;
            for (int i = 0; i < count && remaining > 0; i++) {
                ServerState server = servers.get(from + (i + first) % count);
                if (!isAvailable(nowUs, request, server)) {
                    continue;
                }
                remaining--;
                boolean matches = switch (filter) {
                    case ANY -> hasCapacity(nowUs, request, server);
                    case REPORTED_IDLE -> server.reportValidUntilUs > nowUs
                            && load(nowUs, request, server) == 0
                            && !isDemoted(nowUs, server);
                    case UNKNOWN_LOAD -> server.probedAtUs == Long.MIN_VALUE
                            && server.reportValidUntilUs <= nowUs;
                };
                if (matches && (best == null || ranksBefore(nowUs, request, server, best))) {
                    best = server;
                }
            }
        }
        return best;
    }

    private boolean hasCapacity(long nowUs, RequestState request, ServerState server) {
        // A class with a long target latency must not fill the servers at the cost of other classes, unless
        // it is worth more. A class that is worth far more may also load a server further, so that under
        // overload the classes of least worth run out of capacity first. This would overload the server if
        // such a class were most of the traffic.
        double worthRatio = minWorth > 0 ? request.requestClass.worth() / minWorth : 1;
        double priority =
                Math.max(1, Math.min(worthRatio / PRIORITY_WORTH_RATIO, MAX_WAIT_FACTOR_BY_PRIORITY));
        double timeUs = Math.min((request.usefulUntilUs - nowUs) * priority, minAimUs * worthRatio);
        // An idle server never counts as too slow for long, as its recovery would then not be seen. If only
        // this copy's own requests show load, other copies may congest a server that looks idle, so the
        // server's last latencies count for a while.
        boolean idle = assumedLoad(nowUs, request, server) == 0
                && (usesReports(nowUs) || !hasRecentLatency(nowUs, server));
        double expectedUs = expectedLatencyUs(nowUs, request, server);
        // The baseline latency does not count as waiting: in a chain of tiers it may be a third of the target
        // latency.
        double baselineUs = Math.min(latencies.classBaselineUs(request.original.requestClass()), expectedUs);
        return idle || belowMinConcurrency(nowUs, request, server) && !latencies.hasBaseline()
                || expectedUs - baselineUs <= (timeUs - baselineUs) * MAX_SPARE_TIME_FRACTION
                && !isCongested(nowUs, request, server, expectedUs);
    }

    /**
     * Returns whether a server has fewer requests in flight than it may always have. Until there are enough
     * samples to know the baseline latency, requests are sent up to this number whatever latency the first
     * requests had: a copy that starts under full load would otherwise learn the baseline too late.
     */
    private boolean belowMinConcurrency(long nowUs, RequestState request, ServerState server) {
        double copiesPerServer = Math.max(1, (double) settings.copies() * subsetSize(nowUs) / servers.size());
        return load(nowUs, request, server) * copiesPerServer < MIN_SERVER_CONCURRENCY;
    }

    /**
     * Returns whether one more request would only lengthen a server's queue. The target latency may leave
     * room for many requests, but if requests take far longer than the baseline latency, a longer queue
     * serves no request sooner, and some servers become slower once congested and stay slow. Such requests
     * wait at this copy, from where they can go to the first server that is free. If the cores of a server
     * share its work, latencies stay near the baseline and no request waits here. A general slowdown of a
     * tier below looks like congestion: a copy then sends only the minimum concurrency to each server.
     */
    private boolean isCongested(long nowUs, RequestState request, ServerState server, double expectedUs) {
        return !belowMinConcurrency(nowUs, request, server)
                && latencies.meanLatencyUs() > latencies.baselineLatencyUs() * OVERALL_CONGESTION_FACTOR
                && expectedUs > latencies.baselineLatencyUs() * relativeLatency(request) * CONGESTED_FACTOR;
    }

    /** Returns whether a server's latest latency sample is recent enough to be used. */
    private static boolean hasRecentLatency(long nowUs, ServerState server) {
        return server.lastLatencySampleUs != Long.MIN_VALUE
                && nowUs - server.lastLatencySampleUs < FAILURE_COOLDOWN_US;
    }

    private boolean isAvailable(long nowUs, RequestState request, ServerState server) {
        return server.cooldownUntilUs <= nowUs && server.admitAtUs <= nowUs
                && lease.usable(nowUs)
                && mayUse(request, server);
    }

    /**
     * Returns the expected latency of a request at a server. A server that is too congested or slow to answer
     * in time is not used for the request: late work is wasted and prolongs the congestion.
     */
    private double expectedLatencyUs(long nowUs, RequestState request, ServerState server) {
        double usualUs = latencies.unitLatencyUs() / capacityFraction(server, nowUs);
        double unitUs = hasRecentLatency(nowUs, server) ? server.unitLatencyUs()
                : server.loadSum > 0 ? Math.min(server.unitLatencyUs(), usualUs) : usualUs;
        return unitUs * (assumedLoad(nowUs, request, server) + request.relativeWork * EXTRA_WORK_FACTOR)
                * relativeLatency(request);
    }

    /**
     * Returns the known number of requests in flight at a server: those of this copy, or those of all copies
     * while the server's load report is valid. Requests whose body is still being sent count only for other
     * such requests: clients that stop half way must not take the server from those that have sent all.
     */
    private static int load(long nowUs, RequestState request, ServerState server) {
        int own = server.inFlight + (request.original.uploading() ? server.uploads : 0);
        return server.reportValidUntilUs > nowUs ? Math.max(own, server.reportedLoad) : own;
    }

    private int assumedLoad(long nowUs, RequestState request, ServerState server) {
        return server.reportValidUntilUs > nowUs ? load(nowUs, request, server)
                : Math.max(load(nowUs, request, server), (int) meanReportedLoad);
    }

    /** Returns the minimum latency that a request can be expected to have. */
    private double minLatencyUs(RequestState request) {
        return (request.queued ? latencies.unitLatencyUs() * MIN_QUEUED_TIME_FACTOR
                : latencies.quickUnitLatencyUs()) * request.relativeWork * relativeLatency(request);
    }

    private double relativeLatency(RequestState request) {
        return latencies.relativeLatency(request.original.requestClass());
    }

    /**
     * Returns whether server a is chosen before server b. Idle servers that are not demoted come first, then
     * those with the fewest requests in flight, demoted or not; among equals, the lower turn time comes
     * first.
     */
    private boolean ranksBefore(long nowUs, RequestState request, ServerState a, ServerState b) {
        int loadA = load(nowUs, request, a);
        int loadB = load(nowUs, request, b);
        boolean idleA = loadA == 0 && !isDemoted(nowUs, a);
        boolean idleB = loadB == 0 && !isDemoted(nowUs, b);
        if (idleA != idleB) {
            return idleA;
        }
        // A server partitioned from this copy has none of this copy's requests in flight. It must not attract
        // all requests while the other servers are busy.
        loadA += Math.min(MAX_UNANSWERED, a.unansweredProbes + a.overdueAttempts)
                + (mayNeedConnection(nowUs, a) ? 1 : 0);
        loadB += Math.min(MAX_UNANSWERED, b.unansweredProbes + b.overdueAttempts)
                + (mayNeedConnection(nowUs, b) ? 1 : 0);
        if (loadA != loadB) {
            return loadA < loadB;
        }
        return a.turnAtUs < b.turnAtUs;
    }

    /**
     * Returns whether a server is used only if all others are busy. A server whose reply to a probe is
     * overdue is demoted too. It was probed first because its turn is next, so otherwise the request that
     * waited for the probe would go to this server, which may be stalled or partitioned.
     */
    private boolean isDemoted(long nowUs, ServerState server) {
        return server.demotedUntilUs > nowUs || mayNeedConnection(nowUs, server)
                || server.probedAtUs != Long.MIN_VALUE
                && nowUs - server.probedAtUs > PROBE_OVERDUE_FACTOR * probeLatencyUs;
    }

    /**
     * Returns whether a request to a server might need a new connection while attempts to connect fail. If
     * servers accept few connections, accept them slowly or are partitioned, requests do best at servers to
     * which this copy is connected. Such servers then come first, even with one more request in flight, which
     * also saves connections for other copies. One dead server triggers this rule for some requests. If the
     * rule always applied, each copy would keep to a few servers without need.
     */
    private boolean mayNeedConnection(long nowUs, ServerState server) {
        return failureRates.connectionsFail() && server.inFlight == 0
                && server.lastConnectedUs <= nowUs - settings.limits().keepaliveUs();
    }

    /**
     * Returns whether a class may run on a server. Requests of the class wait while no such server is usable.
     */
    private static boolean placementAllows(RequestClass requestClass, ServerState server) {
        return (requestClass.zones() == null || requestClass.zones().contains(server.zone))
                && (requestClass.models() == null || requestClass.models().contains(server.model));
    }

    /**
     * Returns whether a request may be sent to a server. The request may not be sent if its class may not run
     * on the server or if the request was sent to the server before. A request that is not safe to repeat and
     * may have run at another server may be sent only if this server would drop the repeat.
     */
    private static boolean mayUse(RequestState request, ServerState server) {
        if (!placementAllows(request.requestClass, server)) {
            return false;
        }
        for (Attempt attempt : request.attempts) {
            if (attempt.server == server) {
                return false;
            }
        }
        Attempt possiblyRun = request.firstPossiblyRun();
        if (possiblyRun == null || request.requestClass.effect() == Effect.SAFE) {
            return true;
        }
        ServerState first = possiblyRun.server;
        return switch (request.requestClass.group()) {
            case ALL -> true;
            case ZONE -> server.zone == first.zone;
            case CELL -> server.zone == first.zone && server.group == first.group;
        };
    }

    /** Returns whether another attempt of a request is allowed after its attempts so far. */
    private boolean mayRetry(long nowUs, RequestState request) {
        if (request.attempts.size() >= settings.limits().maxAttempts() || nowUs >= request.usefulUntilUs
                || request.bodyNotReplayable) {
            return false;
        }
        Attempt possiblyRun = request.firstPossiblyRun();
        return possiblyRun == null || switch (request.requestClass.effect()) {
            case SAFE -> true;
            case KEYED -> nowUs - possiblyRun.sentAtUs < request.requestClass.dedupWindowUs();
            case UNSAFE -> false;
        };
    }

    @Override
    public void outcome(long nowUs, String requestId, int attemptNumber, String serverId, Outcome outcome,
            long elapsedUs, boolean ended, LoadReport report) {
        Attempt attempt = findOutstandingAttempt(requestId, attemptNumber);
        if (attempt == null) {
            return;
        }
        RequestState request = attempt.request;
        removeLoad(attempt);
        attempt.outstanding = false;
        request.outstandingAttempts--;
        if (attempt.server.draining) {
            closeIdle(attempt.server.id);
        }
        recordOutcome(nowUs, attempt.server, outcome);
        if ((outcome == Outcome.OK || outcome == Outcome.TIMEOUT) && !attempt.responseStarted) {
            recordLatency(nowUs, attempt, outcome == Outcome.OK, elapsedUs);
        } else if (outcome == Outcome.FULL) {
            attempt.server.reportedLoad = FULL_LOAD;
            attempt.server.reportValidUntilUs =
                    nowUs + (long) (latencies.unitLatencyUs() * BUSY_REPORT_FACTOR);
        }
        if (attempt.reportedIdle()) {
            reportTrust.recordReport(nowUs, outcome == Outcome.FULL || outcome == Outcome.TIMEOUT);
        }
        attempt.provedNotRun = outcome.provesNotRun;
        if (outcome == Outcome.TIMEOUT && !attempt.overdue) {
            onUnanswered(nowUs, attempt.server);
        }
        if (ended) {
            request.completed = true;
            cancelOutstanding(request);
        }
        if (!request.completed && request.outstandingAttempts == 0) {
            retryOrEnd(nowUs, request, outcome);
        }
        removeIfCompleted(request);
        performDueWork(nowUs);
    }

    private Attempt findOutstandingAttempt(String requestId, int attemptNumber) {
        RequestState request = requests.get(requestId);
        Attempt attempt = request == null || attemptNumber >= request.attempts.size() ? null
                : request.attempts.get(attemptNumber);
        return attempt == null || !attempt.outstanding ? null : attempt;
    }

    private void recordLatency(long nowUs, Attempt attempt, boolean served, long elapsedUs) {
        if (attempt.loadKnown || latencies.unitLatencyUs() == 0) {
            latencies.addSample(attempt, served, elapsedUs);
            attempt.server.lastLatencySampleUs = nowUs;
        }
    }

    /** Returns whether this copy sends probes and uses the load that they report. */
    private boolean usesReports(long nowUs) {
        return probesPerRequest > 0 && reportTrust.reportsTrusted(nowUs);
    }

    /**
     * Updates a server's error rate, and starts a cooldown if the server answers with errors far more often
     * than others: as error responses come at once, such a server always looks idle and attracts ever more
     * requests. Errors at the same rate at all servers come from a tier below and start no cooldown.
     */
    private void updateErrorRate(long nowUs, ServerState server, boolean error) {
        server.errorRate += ERROR_WEIGHT * ((error ? 1 : 0) - server.errorRate);
        if (!error) {
            server.errorCooldowns = server.errorRate < MAX_ERROR_RATE / 2 ? 0 : server.errorCooldowns;
        } else if (server.errorRate > MAX_ERROR_RATE && server.errorRate > 2 * failureRates.errorRate()
                && mayStartCooldown(nowUs)) {
            server.cooldownUntilUs = nowUs
                    + (FAILURE_COOLDOWN_US << Math.min(server.errorCooldowns++, MAX_BACKOFF_DOUBLINGS));
            server.errorRate = MAX_ERROR_RATE;
            logRateLimited(nowUs, server.id, " rests: it answers with errors far more often than others");
        }
    }

    /**
     * Updates a server's error rate and failure count; only failed and broken connections count as failures.
     */
    private void recordOutcome(long nowUs, ServerState server, Outcome outcome) {
        failureRates.recordOutcome(outcome);
        if (outcome == Outcome.OK || outcome == Outcome.ERROR) {
            updateErrorRate(nowUs, server, outcome == Outcome.ERROR);
        }
        boolean failed = outcome == Outcome.CONNECT_FAILED;
        server.lastConnectedUs = failed || outcome == Outcome.RESET ? Long.MIN_VALUE : nowUs;
        if (outcome == Outcome.OK) {
            server.consecutiveFailures = 0;
            server.overdueAttempts = 0;
            server.demotedUntilUs = Long.MIN_VALUE;
        } else if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.RESET) {
            server.consecutiveFailures++;
            server.demotedUntilUs = nowUs + FAILURE_COOLDOWN_US;
            int excess =
                    server.consecutiveFailures - failureRates.significantFailures(FAILURES_BEFORE_COOLDOWN);
            if (excess >= 0) {
                int doublings = Math.min(excess, MAX_BACKOFF_DOUBLINGS);
                server.cooldownUntilUs = nowUs + (FAILURE_COOLDOWN_US << doublings);
                logRateLimited(nowUs, server.id, " rests: connections to it fail or break");
            }
        }
    }

    /**
     * Retries a request after a failed attempt, if that is allowed and within budget, or else ends the
     * request.
     */
    private void retryOrEnd(long nowUs, RequestState request, Outcome outcome) {
        double retryCost = outcome.provesNotRun ? 0 : 1;
        if (mayRetry(nowUs, request) && retryBudget >= retryCost) {
            retryBudget -= retryCost;
            dispatch(nowUs, request);
        } else {
            refuseOrFail(nowUs, request);
        }
    }

    /**
     * Ends a request to which no server gave the final answer. The request is refused if the client may
     * safely retry it, and either has time left or follows advice on when to retry; otherwise it fails.
     */
    private void refuseOrFail(long nowUs, RequestState request) {
        request.completed = true;
        boolean timeLeft = nowUs + minLatencyUs(request) < request.usefulUntilUs;
        long retryAfterUs = settings.limits().maxRetryAfterUs();
        if (mayRefuse(request) && (timeLeft || retryAfterUs > 0)) {
            actions.refuse(request.original.id(), timeLeft ? 0 : retryAfterUs);
        } else {
            actions.fail(request.original.id());
        }
        removeIfCompleted(request);
    }

    private static boolean mayRefuse(RequestState request) {
        return request.firstPossiblyRun() == null || request.requestClass.effect() == Effect.SAFE
                || request.requestClass.effect() == Effect.KEYED
                && request.requestClass.group() == DedupGroup.ALL;
    }

    private void removeIfCompleted(RequestState request) {
        if (request.completed && request.outstandingAttempts == 0) {
            requests.remove(request.original.id());
        }
    }

    @Override
    public void streamStarted(long nowUs, String requestId, int attemptNumber, String serverId,
            long elapsedUs) {
        Attempt attempt = findOutstandingAttempt(requestId, attemptNumber);
        if (attempt == null || attempt.responseStarted) {
            return;
        }
        // The server has done its work: how long the rest of the response takes depends on the client.
        removeLoad(attempt);
        attempt.responseStarted = true;
        recordOutcome(nowUs, attempt.server, Outcome.OK);
        recordLatency(nowUs, attempt, true, elapsedUs);
        attempt.request.completed = true;
        cancelOutstanding(attempt.request);
        performDueWork(nowUs);
    }

    @Override
    public void bodySpent(long nowUs, String requestId) {
        RequestState request = requests.get(requestId);
        if (request != null) {
            request.bodyNotReplayable = true;
            request.attempts.forEach(Logic::startUpload);
        }
    }

    private static void startUpload(Attempt attempt) {
        if (attempt.awaitsResponse()) {
            attempt.server.inFlight--;
            attempt.server.uploads++;
            attempt.uploading = true;
        }
    }

    /** Takes an attempt that ends, or whose response starts, out of the load of its server. */
    private static void removeLoad(Attempt attempt) {
        attempt.server.inFlight -= attempt.awaitsResponse() ? 1 : 0;
        attempt.server.uploads -= attempt.uploading && !attempt.responseStarted ? 1 : 0;
    }

    @Override
    public void bodyWritten(long nowUs, String requestId, int attemptNumber) {
        Attempt attempt = findOutstandingAttempt(requestId, attemptNumber);
        if (attempt != null && attempt.uploading) {
            attempt.uploading = false;
            if (!attempt.responseStarted) {
                attempt.server.uploads--;
                attempt.server.inFlight++;
            }
            startResponseTimer(nowUs, attempt);
        }
    }

    @Override
    public void clientGone(long nowUs, String requestId) {
        RequestState request = requests.get(requestId);
        if (request != null && !request.completed) {
            request.completed = true;
            cancelOutstanding(request);
            removeIfCompleted(request);
            performDueWork(nowUs);
        }
    }

    private void cancelOutstanding(RequestState request) {
        for (int i = 0; i < request.attempts.size() && settings.limits().cancel(); i++) {
            if (request.attempts.get(i).outstanding && !request.attempts.get(i).responseStarted) {
                actions.cancel(request.original.id(), i);
            }
        }
    }

    // ---- servers that do not answer

    /**
     * Handles an overdue attempt at a server, which may hang although connections stay open and probes are
     * answered. The server is demoted. If a second attempt at the server becomes overdue before the server
     * responds, the server enters a cooldown, provided that enough servers stay in use.
     */
    private void onUnanswered(long nowUs, ServerState server) {
        server.overdueAttempts++;
        server.demotedUntilUs = nowUs + FAILURE_COOLDOWN_US;
        if (probesPerRequest == 0) {
            // If this copy has few requests, a round lasts longer than the demotion, so the demotion alone
            // would not delay the server's next turn.
            long delayUs = (long) Math.min(roundTimeUs(nowUs) * ATTEMPT_OVERDUE_FACTOR,
                    MAX_SLOW_SERVER_DELAY_US);
            server.turnAtUs = Math.max(server.turnAtUs, nowUs + delayUs);
        }
        if (server.overdueAttempts >= MAX_UNANSWERED && mayStartCooldown(nowUs)) {
            server.cooldownUntilUs = nowUs + (FAILURE_COOLDOWN_US
                    << Math.min(server.overdueAttempts - MAX_UNANSWERED, MAX_BACKOFF_DOUBLINGS));
            logRateLimited(nowUs, server.id, " rests: calls to it stay unanswered");
        }
    }

    private void logRateLimited(long nowUs, String subject, String text) {
        if (nextLogAtUs <= nowUs) {
            nextLogAtUs = nowUs + LOG_INTERVAL_US;
            actions.log(subject + text);
        }
    }

    /**
     * Returns whether at least half of the servers stay in use after one more cooldown, so that cooldowns
     * that start by mistake cannot stop the traffic.
     */
    private boolean mayStartCooldown(long nowUs) {
        int inUse = 0;
        for (ServerState server : servers) {
            inUse += server.cooldownUntilUs <= nowUs && server.admitAtUs <= nowUs ? 1 : 0;
        }
        return (inUse - 1) * 2 >= servers.size();
    }

    @Override
    public void probeResult(long nowUs, String serverId, Outcome outcome, long elapsedUs, LoadReport report) {
        ServerState server = serversById.get(serverId);
        if (server == null) {
            return;
        }
        server.probedAtUs = Long.MIN_VALUE;
        if (outcome == Outcome.OK && report != null) {
            server.unansweredProbes = 0;
            probeLatencyUs += MEAN_WEIGHT * (elapsedUs - probeLatencyUs);
            server.reportedLoad = (int) Math.round(Math.max(report.inFlight(), report.queue()));
            meanReportedLoad += MEAN_WEIGHT * (server.reportedLoad - meanReportedLoad);
            if (server.reportedLoad > 0) {
                // Without this, servers that are never idle would be probed first each time, and the loads of
                // these servers would be taken for the loads of all servers.
                server.turnAtUs = Math.max(server.turnAtUs, nowUs);
            }
            server.reportValidUntilUs = nowUs + (long) (server.reportedLoad > 0
                    ? server.reportedLoad * latencies.unitLatencyUs() * BUSY_REPORT_FACTOR
                    : PROBE_OVERDUE_FACTOR * probeLatencyUs);
            if (server.consecutiveFailures == 0) {
                server.demotedUntilUs = Long.MIN_VALUE;
            }
        } else if (outcome == Outcome.CONNECT_FAILED) {
            recordOutcome(nowUs, server, outcome);
        } else {
            server.demotedUntilUs = Math.max(server.demotedUntilUs,
                    nowUs + (long) (PROBE_OVERDUE_FACTOR * latencies.unitLatencyUs()));
            server.unansweredProbes++;
            meanReportedLoad -= MEAN_WEIGHT * meanReportedLoad;
        }
        performDueWork(nowUs);
    }

    // ---- time

    @Override
    public void timer(long nowUs) {
        if (wakeAtUs <= nowUs) {
            wakeAtUs = Long.MAX_VALUE;
        }
        performDueWork(nowUs);
    }

    @Override
    public int hostsDown(long nowUs) {
        return drainingIds.size() + (int) servers.stream()
                .filter(server -> server.cooldownUntilUs > nowUs || server.demotedUntilUs > nowUs).count();
    }

    private void scheduleWake(long atUs) {
        if (atUs < wakeAtUs) {
            wakeAtUs = atUs;
            actions.wakeAt(atUs);
        }
    }

    /** Returns the earliest time at which a server that is in cooldown, cold or busy may be usable again. */
    private long nextAvailableUs(long nowUs) {
        long next = Long.MAX_VALUE;
        for (ServerState server : servers) {
            long at = Math.max(server.cooldownUntilUs, server.admitAtUs);
            if (at <= nowUs) {
                at = server.reportValidUntilUs;
            }
            if (at > nowUs && at < next) {
                next = at;
            }
        }
        return Math.min(next,
                nowUs + (long) (latencies.unitLatencyUs() * BUSY_REPORT_FACTOR) + settings.tickUs());
    }

    /**
     * Performs all due work: asks discovery for changes, handles overdue attempts, and sends or ends waiting
     * requests.
     */
    private void performDueWork(long nowUs) {
        if (watchRequestAtUs <= nowUs && !watching) {
            watchRequestAtUs = Long.MAX_VALUE;
            actions.watchServers();
        }
        if (watchRequestAtUs != Long.MAX_VALUE) {
            scheduleWake(watchRequestAtUs);
        }
        while (!sentAttempts.isEmpty() && (!sentAttempts.peek().awaitsResponse()
                || sentAttempts.peek().overdueAtUs <= nowUs)) {
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
            // The newest requests are sent first: under overload, the responses to the requests that waited
            // longest would mostly be late.
            ArrayDeque<RequestState> queued = new ArrayDeque<>(waiting);
            waiting.clear();
            while (!queued.isEmpty()) {
                RequestState request = queued.pollLast();
                if (!request.completed) {
                    dispatch(nowUs, request);
                }
            }
        }
    }
}
