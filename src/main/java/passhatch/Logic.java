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
 * Makes all decisions of the balancer: server selection, retries, probes, slow start and load shedding. Its
 * types, events and actions are declared in {@link Balancer} (Balancer.java).
 *
 * <p>While nothing fails, a request goes to a server that has none of this copy's own requests in flight,
 * else to the one with the fewest in flight; among equals, to the one assigned least recently; see
 * {@link #ranksBefore}. Everything else here is about failures and limits.
 */
public final class Logic implements Balancer {

    /** Consecutive failures before a cooldown, where few connections fail: one may be chance, two are not. */
    private static final int FAILURES_BEFORE_COOLDOWN = 2;
    /** Length of a cooldown: a few attempts a minute do no harm, and a restart takes some seconds. */
    private static final long FAILURE_COOLDOWN_US = 3_000_000;
    /** Retries earned by each request, so that retries add at most a tenth of load in the long run. */
    private static final double RETRIES_PER_REQUEST = 0.1;
    /** Retries that may be saved up for a burst of failures. */
    private static final double MAX_RETRY_BUDGET = 5;
    /** First delay before discovery is asked again; doubled at each failure. */
    private static final long DISCOVERY_RETRY_DELAY_US = 250_000;
    /** Fraction of the whole worth that probes may cost over all tiers; none if two a request cost more. */
    private static final double MAX_PROBE_COST_TO_WORTH = 0.02;
    /** Probes in a round: one may be lost or slow, more than two would mostly be wasted. */
    private static final int PROBES_PER_ROUND = 2;
    /** While servers hold fewer requests than this on average, one probe a round is usually enough. */
    private static final double LIGHT_LOAD = 0.25;
    /** Rounds of probes before a request goes to the best server known. */
    private static final int MAX_PROBE_ROUNDS = 3;
    /** Probes are sent only while one takes at most this fraction of the target latency. */
    private static final double MAX_PROBE_LATENCY_FRACTION = 0.02;
    /** The reply to a probe is overdue after this multiple of the mean probe latency. */
    private static final double PROBE_OVERDUE_FACTOR = 3;
    /** A busy server's report is valid for this part of a usual latency, as most of that work is left. */
    private static final double BUSY_REPORT_FACTOR = 0.25;
    /** Fraction of a request's work beyond the usual that counts: hints err, and not all time is work. */
    private static final double EXTRA_WORK_FACTOR = 0.5;
    /** Fraction of its spare time that a request may be expected to wait: the mean is far from the worst. */
    private static final double MAX_SPARE_TIME_FRACTION = 0.36;
    /** A request worth more may wait up to this multiple of that, so the least worth are shed first. */
    private static final double MAX_PRIORITY_FACTOR = 2;
    /** Requests that the copies sharing a server may always have there together: they keep cores busy. */
    private static final double MIN_SERVER_CONCURRENCY = 4;
    /** More are sent while the next should take less than this multiple of the baseline; 2 to 3 act alike. */
    private static final double CONGESTED_FACTOR = 2.3;
    /** Or while the mean latency is below this multiple of it: a burst after calm is no congestion. */
    private static final double OVERALL_CONGESTION_FACTOR = 1.3;
    /** Classes worth up to this multiple of the least get no priority: they may be half of all traffic. */
    private static final double PRIORITY_WORTH_RATIO = 4;
    /** A server gets turns at most this many times less often, or more often, than the usual one. */
    private static final double MAX_SLOWDOWN = 20;
    /** Fraction of the load that would overload a cold server that all copies together may send it. */
    private static final double COLD_LOAD_FRACTION = 0.5;
    /**
     * A queued request must have this multiple of the usual latency left: sent at the last moment, half
     * would be late.
     */
    private static final double MIN_QUEUED_TIME_FACTOR = 1.4;
    /** How often a cooldown is doubled at most, once at each further failure. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    /** An attempt is overdue after this multiple of the expected latency, as latencies spread widely. */
    private static final double ATTEMPT_OVERDUE_FACTOR = 5;
    /** Overdue attempts, or unanswered probes, in a row after which a server enters a cooldown. */
    private static final int MAX_UNANSWERED = 2;
    /** Rounds by which the turn of a server in another zone is postponed, so that the own zone is first. */
    private static final double CROSS_ZONE_DELAY_ROUNDS = 1;
    /** Weight of the newest response in a server's error rate. */
    private static final double ERROR_WEIGHT = 0.2;
    /** Error rate above which a server may enter a cooldown. */
    private static final double MAX_ERROR_RATE = 0.35;
    /** A slow server is tried again after this long at the latest, as it may have recovered. */
    private static final double MAX_SLOW_SERVER_DELAY_US = 24_000_000;
    /** Load assumed for a server that rejected a request as full. */
    private static final int FULL_LOAD = 1000;
    /** Copies per server where only their own requests show its load: each should see most of that load. */
    private static final double COPIES_PER_SERVER = 2;
    /** Minimum number of servers in a subset: with fewer, one that is slow or dead weighs too much. */
    private static final int MIN_SUBSET_SIZE = 4;
    /** The same where probes report load: enough to find an idle one, few enough to rank per request. */
    private static final int MIN_PROBED_SUBSET_SIZE = 24;
    /** Minimum time between two rate-limited log lines, as failures come in bursts. */
    private static final long LOG_INTERVAL_US = 10_000_000;

    /** Which servers a selection considers: all, those reported to be idle, those whose load is unknown. */
    private enum ServerFilter { ANY, REPORTED_IDLE, UNKNOWN_LOAD }

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<String, ServerState> serversById = new HashMap<>();
    /** Ids of the listed servers that drain. */
    private final Set<String> drainingIds = new HashSet<>();
    private final List<ServerState> servers = new ArrayList<>();
    private final Map<String, RequestState> requests = new HashMap<>();
    /** Requests for which no server may be used now, oldest first. */
    private final ArrayDeque<RequestState> waiting = new ArrayDeque<>();
    /** Attempts in the order in which they were sent, to find those overdue. */
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
    /** Probes that the price allows for each request, and those saved up. */
    private final double probesPerRequest;
    private double probeBudget;
    private double probeLatencyUs;
    /** Mean of the loads that probed servers reported; assumed for a server without a valid report. */
    private double meanReportedLoad;
    private final LatencyStats latencies;
    private double meanWorkUs;
    /** The time that clients give the first try of a request. */
    private double firstTryTimeoutUs;
    private final TenantQuotas tenantQuotas;
    private double meanSendGapUs;
    private long lastSentAtUs = Long.MIN_VALUE;

    /**
     * Creates a copy that knows no server yet.
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
        // A removed server is kept until its attempts end: it may be listed again while it still holds them.
        serversById.values().removeIf(server -> !server.listed && server.inFlight == 0);
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
     * Closes the idle connections to a draining server, as they would keep it from stopping. Called at the
     * notice, and for connections in use at that time when the outcome ends their use.
     */
    private void closeIdle(String serverId) {
        if (settings.rules().closeWithinUs() > 0) {
            actions.closeIdle(serverId);
        }
    }

    /** Orders the list: servers of the own zone first, then by a hash that is the same at every copy. */
    private boolean sortsAfter(ServerState a, ServerState b) {
        return crossZoneDelayRounds(a) != crossZoneDelayRounds(b) ? crossZoneDelayRounds(a) > crossZoneDelayRounds(b)
                : a.hashOrder > b.hashOrder;
    }

    /**
     * Sets when a newly listed server gets its first request. By assignment time alone it would be next at
     * every copy at once, so it gets the turn of a server chosen at random. While it is cold only a part of
     * the copies use it: with many copies, a round of each takes so long that a wait measured in rounds would
     * leave it without requests.
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

    /** Returns when a cold server can safely take this fraction of a usual server's load. */
    private long warmEnoughAtUs(ServerState server, double fraction) {
        Rules rules = settings.rules();
        double extraCapacity = Math.min(1, fraction / (rules.tipMultiple() * COLD_LOAD_FRACTION)) - rules.coldFrom();
        return server.startedAtUs + (long) (Math.max(0, extraCapacity) / (1 - rules.coldFrom()) * rules.coldUs());
    }

    /** Returns the fraction of its full capacity that a server can be assumed to have by now. */
    private double capacityFraction(ServerState server, long nowUs) {
        Rules rules = settings.rules();
        long ageUs = nowUs - server.startedAtUs;
        if (server.startedAtUs <= 0 || ageUs >= rules.coldUs()) {
            return 1;
        }
        return rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, ageUs) / rules.coldUs();
    }

    /**
     * Returns the time between two turns of a cold server, based on this copy's round over its servers. If
     * every copy keeps to it, the server gets only a safe fraction of the load that would overload it,
     * provided that a warm server can do at least what it is sent now.
     */
    private double turnIntervalUs(ServerState server, long nowUs) {
        double safeLoad =
                capacityFraction(server, nowUs) * settings.rules().tipMultiple() * COLD_LOAD_FRACTION;
        return roundTimeUs(nowUs) * Math.max(1, 1 / safeLoad);
    }

    /** Returns the time in which this copy sends one request to each server of its subset. */
    private double roundTimeUs(long nowUs) {
        return (meanSendGapUs > 0 ? meanSendGapUs : settings.classes().get(0).aimUs())
                * Math.max(1, subsetSize(nowUs));
    }

    /**
     * Returns how many servers this copy uses. Where many copies send to each server and no probe reports
     * what the others sent, own requests in flight tell nothing of its load; and where a connection carries
     * one request, connections of many copies exhaust a server even while idle. So each copy uses only the
     * few servers that follow its own index in the list, which spreads the copies evenly. Where probes report
     * load, more are used, but not all of hundreds: ranking them for each request costs too much. A server in
     * cooldown is skipped.
     */
    private int subsetSize(long nowUs) {
        int all = servers.size();
        boolean reported = usesReports(nowUs) && settings.limits().callsPerConnection() > 1;
        double evenSize = Math.ceil(COPIES_PER_SERVER * all / settings.copies());
        return (int) Math.min(all, Math.max(reported ? MIN_PROBED_SUBSET_SIZE : MIN_SUBSET_SIZE, evenSize));
    }

    /**
     * Returns the server's latency as a multiple of the usual one. Idle servers are ordered by turn only:
     * with turns set by assignment time alone, slow servers would get as many requests as fast ones.
     */
    private double slowdown(ServerState server) {
        return server.loadSum == 0 || latencies.unitLatencyUs() == 0 ? 1 : Math.min(MAX_SLOWDOWN,
                Math.max(1 / MAX_SLOWDOWN, server.unitLatencyUs() / latencies.unitLatencyUs()));
    }

    /** Returns by how many rounds a server's turn is postponed: 0 in the own zone or if crossing is free. */
    private double crossZoneDelayRounds(ServerState server) {
        return settings.prices().crossZone() > 0 && server.zone != settings.zone() ? CROSS_ZONE_DELAY_ROUNDS : 0;
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
    public boolean mayReach(long nowUs, String serverId) {
        ServerState server = serversById.get(serverId);
        return server != null && server.up && lease.usable(nowUs, server.lastAcceptedSendUs);
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
            // The target latency counts from the client's first try; a last try is given all the time that
            // the client has left, which tells when the first one came.
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

    /** Sends the request to the server whose turn it is, or queues it until one may be used. */
    private void dispatch(long nowUs, RequestState request) {
        if (nowUs + minLatencyUs(request) > request.usefulUntilUs || nowUs >= request.usefulUntilUs) {
            if (!request.queued) {
                // Without this, one slow period could end all later requests unsent, with no new samples.
                latencies.lowerQuickEstimate();
            }
            refuseOrFail(nowUs, request);
            return;
        }
        logListState(nowUs);
        if (!lease.anyServerUsable(nowUs)) {
            waitForList(nowUs, request);
            return;
        }
        ServerState idle =
                usesReports(nowUs) ? pickServer(nowUs, request, ServerFilter.REPORTED_IDLE) : null;
        ServerState server = idle != null ? idle : pickServer(nowUs, request, ServerFilter.ANY);
        if (idle == null && sendProbesIfNeeded(nowUs, request)) {
            waiting.add(request);
            scheduleWake(request.probeWaitUntilUs);
        } else if (request.overQuota && (server == null || load(nowUs, server) > 0)) {
            refuseOrFail(nowUs, request);
        } else if (server == null) {
            logRateLimited(nowUs, request.requestClass.name(),
                    " waits: every server it may use is congested, in cooldown or still cold");
            request.queued = true;
            request.probeRounds = 0;
            waiting.add(request);
            scheduleWake(Math.min(nextAvailableUs(nowUs),
                    request.usefulUntilUs - (long) minLatencyUs(request)));
        } else {
            send(nowUs, request, server);
        }
    }

    /** Logs each change between a list of servers that may be used and one that may not. */
    private void logListState(long nowUs) {
        boolean usable = lease.anyServerUsable(nowUs);
        if (usable != listUsable) {
            listUsable = usable;
            actions.log(usable ? "the list of servers is in use"
                    : "the list of servers is not in use: it is unconfirmed and may lack changes");
        }
    }

    /** Queues a request while no list may be used, but refuses it while its client can still go elsewhere. */
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
     * Returns whether the request first waits for probes. With few own requests in flight every server looks
     * idle, including those that are busy with other copies' requests, stalled or slow. So the servers next
     * in turn are probed, and the first found idle is used. Applies where probes are cheap and quick.
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
        int maxProbes = meanReportedLoad < LIGHT_LOAD ? 1 : PROBES_PER_ROUND;
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
        Attempt attempt = new Attempt(request, server, nowUs, load(nowUs, server) + request.relativeWork,
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

    /** Starts the time after which the attempt is overdue if its server has not answered. */
    private void startResponseTimer(long nowUs, Attempt attempt) {
        if (latencies.unitLatencyUs() > 0) {
            attempt.overdueAtUs = nowUs + (long) (ATTEMPT_OVERDUE_FACTOR * latencies.unitLatencyUs()
                    * attempt.loadAtSend * relativeLatency(attempt.request));
            sentAttempts.add(attempt);
            scheduleWake(sentAttempts.peek().overdueAtUs);
        }
    }

    /**
     * Returns the server whose turn it is among those of the subset that the request may use and that match
     * the filter, or null. Where all servers of the own zone are too congested or slow for the request, a
     * subset of the other zones' servers is tried: traffic that moves to one zone must not be refused while
     * other zones have capacity.
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
                    case REPORTED_IDLE -> server.reportValidUntilUs > nowUs && load(nowUs, server) == 0
                            && !isDemoted(nowUs, server);
                    case UNKNOWN_LOAD -> server.probedAtUs == Long.MIN_VALUE
                            && server.reportValidUntilUs <= nowUs;
                };
                if (matches && (best == null || ranksBefore(nowUs, server, best))) {
                    best = server;
                }
            }
        }
        return best;
    }

    private boolean hasCapacity(long nowUs, RequestState request, ServerState server) {
        // Classes with a longer target latency must not fill the servers up for the others, unless they are
        // worth more. Those worth far more may also load a server further, so that under overload the least
        // worth run out of capacity first; if they were most of the traffic, they would overload it.
        double worthRatio = minWorth > 0 ? request.requestClass.worth() / minWorth : 1;
        double priority = Math.max(1, Math.min(worthRatio / PRIORITY_WORTH_RATIO, MAX_PRIORITY_FACTOR));
        double timeUs = Math.min((request.usefulUntilUs - nowUs) * priority, minAimUs * worthRatio);
        // An idle server is never too slow for long, as its recovery would not be seen. Where only own
        // requests show load, other copies may congest a server that looks idle, so its last latencies
        // count for a while.
        boolean idle = assumedLoad(nowUs, server) == 0
                && (usesReports(nowUs) || !hasRecentLatency(nowUs, server));
        double expectedUs = expectedLatencyUs(nowUs, request, server);
        // The baseline latency is no waiting: in a chain of tiers it may be a third of the target latency.
        double baselineUs = Math.min(latencies.classBaselineUs(request.original.requestClass()), expectedUs);
        return idle || belowMinConcurrency(nowUs, server) && !latencies.hasBaseline()
                || expectedUs - baselineUs <= (timeUs - baselineUs) * MAX_SPARE_TIME_FRACTION
                && !isCongested(nowUs, request, server, expectedUs);
    }

    /**
     * Returns whether the server holds fewer requests than it may always have. Until there are enough samples
     * to tell the baseline latency from congestion, these are sent whatever the first ones took: a copy that
     * starts under full load would otherwise learn the baseline too late.
     */
    private boolean belowMinConcurrency(long nowUs, ServerState server) {
        double copiesPerServer = Math.max(1, (double) settings.copies() * subsetSize(nowUs) / servers.size());
        return load(nowUs, server) * copiesPerServer < MIN_SERVER_CONCURRENCY;
    }

    /**
     * Returns whether one more request would only lengthen the server's queue. The target latency may leave
     * room for many requests, yet where they take far longer than the baseline, a longer queue serves none
     * sooner, and some servers turn slower once congested and stay so. Such requests wait here, where they
     * can still go to the server that is free first. Where a server's cores share the work, latencies stay
     * near the baseline and nothing is queued here. A general slowdown of a tier below looks the same: then a
     * copy sends only the minimum concurrency to each server.
     */
    private boolean isCongested(long nowUs, RequestState request, ServerState server, double expectedUs) {
        return !belowMinConcurrency(nowUs, server)
                && latencies.meanLatencyUs() > latencies.baselineLatencyUs() * OVERALL_CONGESTION_FACTOR
                && expectedUs > latencies.baselineLatencyUs() * relativeLatency(request) * CONGESTED_FACTOR;
    }

    /** Returns whether the server's latest latency sample is recent enough to count. */
    private static boolean hasRecentLatency(long nowUs, ServerState server) {
        return server.lastLatencySampleUs != Long.MIN_VALUE
                && nowUs - server.lastLatencySampleUs < FAILURE_COOLDOWN_US;
    }

    private boolean isAvailable(long nowUs, RequestState request, ServerState server) {
        return server.cooldownUntilUs <= nowUs && server.admitAtUs <= nowUs
                && lease.usable(nowUs, server.lastAcceptedSendUs)
                && mayUse(request, server);
    }

    /**
     * Returns how long the server is expected to take over this request. A server too congested or slow to
     * answer in time is treated as in cooldown for it: late work is wasted and prolongs the congestion.
     */
    private double expectedLatencyUs(long nowUs, RequestState request, ServerState server) {
        double usualUs = latencies.unitLatencyUs() / capacityFraction(server, nowUs);
        double unitUs = hasRecentLatency(nowUs, server) ? server.unitLatencyUs()
                : server.loadSum > 0 ? Math.min(server.unitLatencyUs(), usualUs) : usualUs;
        return unitUs * (assumedLoad(nowUs, server) + request.relativeWork * EXTRA_WORK_FACTOR)
                * relativeLatency(request);
    }

    /** Returns the requests in flight: this copy's own, or all copies' while a report is valid. */
    private static int load(long nowUs, ServerState server) {
        return server.reportValidUntilUs > nowUs ? Math.max(server.inFlight, server.reportedLoad)
                : server.inFlight;
    }

    private int assumedLoad(long nowUs, ServerState server) {
        return server.reportValidUntilUs > nowUs ? load(nowUs, server)
                : Math.max(server.inFlight, (int) meanReportedLoad);
    }

    /** Returns the least time that this request can be expected to take. */
    private double minLatencyUs(RequestState request) {
        return (request.queued ? latencies.unitLatencyUs() * MIN_QUEUED_TIME_FACTOR
                : latencies.quickUnitLatencyUs()) * request.relativeWork * relativeLatency(request);
    }

    private double relativeLatency(RequestState request) {
        return latencies.relativeLatency(request.original.requestClass());
    }

    /**
     * Returns whether a is chosen before b: idle servers that are not demoted come first, then those with the
     * fewest requests in flight, demoted or not; among equals the one assigned least recently.
     */
    private boolean ranksBefore(long nowUs, ServerState a, ServerState b) {
        int loadA = load(nowUs, a);
        int loadB = load(nowUs, b);
        boolean idleA = loadA == 0 && !isDemoted(nowUs, a);
        boolean idleB = loadB == 0 && !isDemoted(nowUs, b);
        if (idleA != idleB) {
            return idleA;
        }
        // A server partitioned from this copy holds none of its requests. It must not attract all requests
        // that find the other servers busy.
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
     * Returns whether the server is used only after the others. One whose reply to a probe is overdue is
     * demoted too: it was probed first because its turn is next, so the request that waited for the probe
     * would go to a server that is stalled or partitioned.
     */
    private boolean isDemoted(long nowUs, ServerState server) {
        return server.demotedUntilUs > nowUs || mayNeedConnection(nowUs, server)
                || server.probedAtUs != Long.MIN_VALUE
                && nowUs - server.probedAtUs > PROBE_OVERDUE_FACTOR * probeLatencyUs;
    }

    /**
     * Returns whether a request there might need a new connection while connecting fails. Where servers
     * accept few connections, are slow to answer new ones or are partitioned, requests do best at servers
     * that this copy is connected to. These come first then, even with one more request in flight. That saves
     * connections for other copies too. One dead server triggers this for some requests; if it always
     * applied, each copy would keep to a few servers without need.
     */
    private boolean mayNeedConnection(long nowUs, ServerState server) {
        return failureRates.connectionsFail() && server.inFlight == 0
                && server.lastConnectedUs <= nowUs - settings.limits().keepaliveUs();
    }

    /** Returns whether the class may run on the server. Its requests wait while no such server is usable. */
    private static boolean placementAllows(RequestClass requestClass, ServerState server) {
        return (requestClass.zones() == null || requestClass.zones().contains(server.zone))
                && (requestClass.models() == null || requestClass.models().contains(server.model));
    }

    /**
     * Returns false for servers on which the request's class may not run, that the request tried before, or
     * that would not drop it as a repeat.
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

    /** Returns whether the request may be sent once more, after its attempts so far. */
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
        Attempt attempt = findOutstanding(requestId, attemptNumber);
        if (attempt == null) {
            return;
        }
        RequestState request = attempt.request;
        attempt.outstanding = false;
        attempt.server.inFlight -= attempt.responseStarted ? 0 : 1;
        request.outstandingAttempts--;
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

    private void recordAccepted(Attempt attempt) {
        attempt.server.lastAcceptedSendUs = Math.max(attempt.server.lastAcceptedSendUs, attempt.sentAtUs);
        lease.requestAccepted(attempt.sentAtUs);
    }

    private Attempt findOutstanding(String requestId, int attemptNumber) {
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

    /** Returns whether the load of servers is taken from probes. */
    private boolean usesReports(long nowUs) {
        return probesPerRequest > 0 && reportTrust.reportsTrusted(nowUs);
    }

    /**
     * Updates a server's error rate, and starts a cooldown if it errs far more than the others: as it answers
     * at once, it always looks idle and attracts ever more requests. Errors that all servers show alike come
     * from a tier below and start no cooldown.
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

    /** Updates a server's failure counts; only a connection that fails or breaks counts as a failure. */
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

    /** After an attempt without a response, tries another server if that is allowed and within budget. */
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
     * Gives the final answer where no server gave one: a refusal where the client may safely try again, and
     * either has time left or heeds advice on when to retry; else a failure.
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
        Attempt attempt = findOutstanding(requestId, attemptNumber);
        if (attempt == null || attempt.responseStarted) {
            return;
        }
        // The server has done its work; how long the rest of the response takes depends on the client.
        attempt.responseStarted = true;
        attempt.server.inFlight--;
        recordOutcome(nowUs, attempt.server, Outcome.OK);
        recordAccepted(attempt);
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
            request.attempts.forEach(attempt -> attempt.uploading = attempt.outstanding);
        }
    }

    @Override
    public void bodyWritten(long nowUs, String requestId, int attemptNumber) {
        Attempt attempt = findOutstanding(requestId, attemptNumber);
        if (attempt != null && attempt.uploading) {
            attempt.uploading = false;
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
     * Handles an overdue attempt: its server may hang although connections stand and probes are answered. The
     * server is demoted, and enters a cooldown if this happens again with no response in between.
     */
    private void onUnanswered(long nowUs, ServerState server) {
        server.overdueAttempts++;
        server.demotedUntilUs = nowUs + FAILURE_COOLDOWN_US;
        if (probesPerRequest == 0) {
            // A round of a copy with few requests lasts longer than the demotion, so the demotion alone would
            // not delay the server's next turn.
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

    /** Returns whether half of the servers stay in use after one more cooldown, so false alarms stop none. */
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
                // Without this, servers that are never idle would be probed first each time, and their loads
                // would be taken for those of all servers.
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

    /** Returns when the next server that is in cooldown, cold or busy may be usable again. */
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

    /** Does what is due: asks discovery, handles overdue attempts, and sends or ends queued requests. */
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
            // Newest first: under overload, requests that waited longest would mostly be late.
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
