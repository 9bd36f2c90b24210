package passhatch.proxy;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import passhatch.Balancer;
import passhatch.Balancer.Actions;
import passhatch.Balancer.Effect;
import passhatch.Balancer.ListFreshness;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.LoadReport;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Request;
import passhatch.Balancer.RequestClass;
import passhatch.ListLease;
import passhatch.proxy.backend.BackendPool;
import passhatch.proxy.backend.BackendPool.RequestSpec;
import passhatch.proxy.backend.BackendPool.Result;
import passhatch.proxy.backend.LoadReportParser;
import passhatch.proxy.base.Clock;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.base.StallDetector;
import passhatch.proxy.client.ClientPresence;
import passhatch.proxy.client.ProxyRequest;
import passhatch.proxy.client.ProxyResponse;
import passhatch.proxy.client.RequestHandler;
import passhatch.proxy.control.ProxyMetrics;
import passhatch.proxy.discovery.DiscoveryClient;
import passhatch.proxy.discovery.EndpointList;
import passhatch.proxy.discovery.ListWatch;
import passhatch.proxy.flow.Relay;
import passhatch.proxy.flow.RequestBody;
import passhatch.proxy.flow.ResponseStream;

/**
 * Drives the decision module: reports events to it and carries out its actions. Holds the state of
 * the accepted requests and guarantees that each gets exactly one final response in time.
 */
final class ProxyLoop implements Actions, ListWatch.Listener, RequestHandler {

    /**
     * If the decision module has given no response by the time at which it is due, the proxy itself
     * responds this much later.
     */
    private static final long FALLBACK_DELAY_US = 5_000;

    /**
     * Timeout of a probe. A load report that took longer is out of date. It would also raise the
     * mean reply time, which decides how long the decision module waits for probes.
     */
    private static final long PROBE_TIMEOUT_US = 50_000;

    /**
     * Maximum time for a request to reach its backend, including the handshake of a new connection.
     */
    private static final long MAX_TRANSIT_US = 100_000;

    /**
     * Maximum time of an upload. Even the slowest clients, which send 64 kB per second, finish an
     * upload sooner, so an upload that takes longer would never end.
     */
    private static final long MAX_UPLOAD_US = 600_000_000;

    /**
     * Value of the Retry-After header, in microseconds, if this proxy has no memory for a request
     * or cannot read it in time.
     */
    private static final long OVERLOAD_RETRY_AFTER_US = 250_000;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final BackendPool pool;
    private final ProxyMetrics metrics;
    private final StallDetector stallDetector;
    private final RunOnceGuard runOnceGuard;
    private final DiscoveryClient discovery;
    private final Balancer balancer;
    private final BalancerEvents events;
    private final ResponseDeadlines deadlines;
    private final int maxAttempts;
    private final List<RequestClass> classes;
    private final long maxRetryAfterUs;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final BackendTable backends = new BackendTable();
    private boolean listReceived;

    /**
     * Time from which this proxy is ready even if it has received no list from discovery; {@code
     * Long.MAX_VALUE} if its initial list is empty.
     */
    private final long useInitialListAtUs;

    private int unansweredCount;

    /** The number of unanswered requests whose bodies are still being received. */
    private int uploadingCount;

    ProxyLoop(
            EventLoop loop,
            Clock clock,
            EventLog log,
            ProxyConfig config,
            BackendPool pool,
            StallDetector stallDetector,
            ClaimedIds claimedIds,
            ProxyServer.BalancerFactory balancerFactory) {
        this.metrics = new ProxyMetrics(config.classNames());
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.pool = pool;
        this.stallDetector = stallDetector;
        this.maxAttempts = config.settings().limits().maxAttempts();
        this.classes = config.settings().classes();
        this.runOnceGuard = new RunOnceGuard(classes, claimedIds);
        this.maxRetryAfterUs = config.settings().limits().maxRetryAfterUs();
        this.discovery =
                new DiscoveryClient(
                        loop,
                        clock,
                        stallDetector,
                        log,
                        new ListWatch.WatchConfig(
                                config.discoveryAddress(),
                                config.initialList(),
                                config.settings().watch(),
                                config.zoneNames(),
                                config.modelNames(),
                                config.settings().rules().drainGraceUs()),
                        config.seed(),
                        this);
        this.deadlines = new ResponseDeadlines(clock, stallDetector);
        this.balancer = balancerFactory.create(config.settings(), config.seed(), this);
        this.events =
                new BalancerEvents(
                        loop, clock, log, stallDetector, balancer, this::respondAfterError);
        applyInitialList(config.initialList());
        useInitialListAtUs =
                backends.listedCount() == 0
                        ? Long.MAX_VALUE
                        : clock.nowUs() + ListLease.UNCONFIRMED_START_TIMEOUT_US;
        if (!config.settings().watch()) {
            discovery.startWatch();
        }
    }

    /**
     * Returns whether this proxy may serve: it has received a list of backends since its start, or
     * it has waited long enough to use its initial list instead.
     */
    @Override
    public boolean ready() {
        return listReceived || clock.nowUs() >= useInitialListAtUs;
    }

    /** Sets the time within which every request accepted from now on gets its response. */
    void limitResponseTime(long timeoutUs) {
        deadlines.limit(timeoutUs);
    }

    int unansweredCount() {
        return unansweredCount;
    }

    /**
     * Returns the number of requests in memory, including completed requests that still have an
     * open attempt.
     */
    int exchangeCount() {
        return exchanges.size();
    }

    /** Returns the metrics in text form, one per line. */
    String metricsText() {
        return metrics.text(
                unansweredCount - uploadingCount,
                backends.listedCount(),
                balancer.hostsDown(clock.nowUs()));
    }

    /** Calls discovery at another address from now on. */
    void changeDiscoveryAddress(InetSocketAddress newAddress) {
        discovery.changeAddress(newAddress);
    }

    void stop() {
        discovery.stop();
    }

    // ---- events

    private void applyInitialList(EndpointList initialList) {
        updateBackends(initialList);
        events.add(
                () ->
                        balancer.serversChanged(
                                clock.nowUs(), ListKind.REMEMBERED, initialList.servers()));
    }

    @Override
    public void onList(EndpointList list, ListFreshness freshness) {
        updateBackends(list);
        listReceived = true;
        events.add(
                () ->
                        balancer.serversChanged(
                                clock.nowUs(),
                                list.whole() ? ListKind.WHOLE : ListKind.CHANGES,
                                list.servers(),
                                freshness));
    }

    @Override
    public void onUnchanged(ListFreshness freshness) {
        events.add(() -> balancer.listCurrent(clock.nowUs(), freshness));
    }

    @Override
    public void onMessagePending(long sinceUs) {
        events.add(() -> balancer.listPending(sinceUs));
    }

    @Override
    public void onWatchLost() {
        events.add(() -> balancer.discoveryFailed(clock.nowUs()));
    }

    @Override
    public void onCallRejected() {
        events.add(balancer::discoveryTurnedAway);
    }

    @Override
    public void onDiscoveryReached() {
        events.add(balancer::discoveryReached);
    }

    @Override
    public void onAddressChanged() {
        events.add(
                () -> {
                    long nowUs = clock.nowUs();
                    balancer.discoveryMoved(nowUs, nowUs - stallDetector.unreadUs(nowUs));
                });
    }

    private void updateBackends(EndpointList list) {
        backends.update(list).forEach(pool::closeIdleConnections);
    }

    @Override
    public Acceptance accept(ProxyRequest request, long unreadUs, Responder responder) {
        if (runOnceGuard.mayHaveRun(request)) {
            return Acceptance.MAY_HAVE_RUN;
        }
        Exchange exchange = new Exchange(request, responder);
        if (exchanges.putIfAbsent(request.id(), exchange) != null) {
            return Acceptance.ID_IN_USE;
        }
        unansweredCount++;
        log.trace("taken", request.id(), request.timeoutUs());
        exchange.uploading = !request.body().ended();
        if (exchange.uploading) {
            uploadingCount++;
            scheduleUploadCheck(exchange);
        } else {
            startDeadline(exchange, unreadUs);
        }
        long uploadBudgetUs = exchange.uploading ? request.timeoutUs() : 0;
        events.add(
                exchange,
                () -> {
                    long nowUs = clock.nowUs();
                    balancer.request(
                            nowUs,
                            new Request(
                                    request.id(),
                                    request.requestClass(),
                                    request.tenant(),
                                    Math.max(
                                            0,
                                            uploadBudgetUs > 0
                                                    ? uploadBudgetUs
                                                    : exchange.deadlineUs - nowUs),
                                    request.costHintUs(),
                                    request.clientRetry(),
                                    uploadBudgetUs > 0));
                });
        return Acceptance.ACCEPTED;
    }

    @Override
    public ProxyResponse refuseUnadmitted(ProxyRequest request) {
        log.trace("not-admitted", request.id(), request.body().declaredLength());
        metrics.countRequest(request.requestClass(), ProxyMetrics.RequestResult.REFUSED);
        return ProxyResponse.refused(Math.min(OVERLOAD_RETRY_AFTER_US, maxRetryAfterUs));
    }

    @Override
    public void bodyCompleted(String id, long unreadUs, Responder responder) {
        Exchange exchange = exchangeOf(id, responder);
        if (exchange == null || !exchange.uploading) {
            return;
        }
        finishUpload(exchange);
        if (!exchange.responseChosen) {
            startDeadline(exchange, unreadUs);
            for (Exchange.Attempt attempt : exchange.attempts) {
                if (attempt.outcome == null && attempt.handle != null) {
                    attempt.handle.setTimeout(exchange.deadlineUs - clock.nowUs());
                }
            }
        }
    }

    private void finishUpload(Exchange exchange) {
        if (exchange.uploading) {
            exchange.uploading = false;
            uploadingCount--;
        }
    }

    private void startDeadline(Exchange exchange, long unreadUs) {
        exchange.deadlineUs = deadlines.dueUs(exchange.request.timeoutUs(), unreadUs);
        setFallbackTimer(exchange, exchange.deadlineUs, () -> respondIfOverdue(exchange));
    }

    private void setFallbackTimer(Exchange exchange, long dueUs, Runnable action) {
        exchange.cancelFallbackTimer();
        exchange.fallbackTimer =
                loop.schedule(
                        action,
                        Math.max(0, dueUs - clock.nowUs()) + FALLBACK_DELAY_US,
                        TimeUnit.MICROSECONDS);
    }

    // ---- uploads

    /**
     * Schedules the next check of an upload. While the proxy reads a body more slowly than its
     * client sends it, the client may have sent the last byte already, so the response may be due
     * before the body has been read.
     */
    private void scheduleUploadCheck(Exchange exchange) {
        setFallbackTimer(exchange, uploadDueUs(exchange), () -> checkUpload(exchange));
    }

    private long uploadDueUs(Exchange exchange) {
        return deadlines.dueWithoutLimitUs(
                exchange.request.timeoutUs(), exchange.responder.unreadUs());
    }

    private void checkUpload(Exchange exchange) {
        if (clock.nowUs() < uploadDueUs(exchange)) {
            scheduleUploadCheck(exchange);
            return;
        }
        log.trace("upload-overdue", exchange.request.id(), exchange.request.body().size());
        exchange.responder.closeIfBodyIsMissing();
        respondUnasked(
                exchange,
                ProxyResponse.refused(Math.min(OVERLOAD_RETRY_AFTER_US, maxRetryAfterUs)));
    }

    /**
     * Returns the request with an id if it was accepted with the given responder. The id may belong
     * to a later request by now: a client that has left may have sent it again.
     */
    private Exchange exchangeOf(String id, Responder responder) {
        Exchange exchange = exchanges.get(id);
        return exchange != null && exchange.responder == responder ? exchange : null;
    }

    @Override
    public void clientGone(String id, Responder responder) {
        Exchange exchange = exchangeOf(id, responder);
        if (exchange == null || exchange.completed) {
            return;
        }
        boolean streaming = exchange.responseChosen;
        markResponseChosen(exchange);
        complete(exchange, null);
        if (streaming) {
            cancelAttempts(exchange);
        } else {
            events.add(exchange, () -> balancer.clientGone(clock.nowUs(), id));
        }
        removeIfCompleted(exchange);
    }

    private static void cancelAttempts(Exchange exchange) {
        for (Exchange.Attempt attempt : exchange.attempts) {
            if (attempt.outcome == null && attempt.handle != null) {
                attempt.handle.cancel();
            }
        }
    }

    /** Responds just before the client's deadline if the decision module has given no response. */
    private void respondIfOverdue(Exchange exchange) {
        if (!exchange.responseChosen) {
            log.write(
                    "request "
                            + exchange.request.id()
                            + ": no response from the decision module in time");
            respondUnasked(
                    exchange,
                    exchange.mayHaveRun() ? ProxyResponse.failed() : ProxyResponse.refused(0));
        }
    }

    /** Sends a response that the decision module has not chosen, and notifies the module. */
    private void respondUnasked(Exchange exchange, ProxyResponse response) {
        sendResponse(exchange, response);
        events.add(exchange, () -> balancer.clientGone(clock.nowUs(), exchange.request.id()));
        removeIfCompleted(exchange);
    }

    /**
     * Chooses a streamed response as the final response, unless one has been chosen already.
     * Results of other attempts are then no longer sent to the client.
     */
    private void onResponseStarted(
            Exchange exchange, Exchange.Attempt attempt, ResponseStream stream) {
        if (exchange.responseChosen) {
            attempt.handle.cancel();
            return;
        }
        markResponseChosen(exchange);
        attempt.streaming = true;
        log.trace("streams", exchange.request.id(), stream.length());
        events.add(
                exchange,
                () ->
                        balancer.streamStarted(
                                clock.nowUs(),
                                exchange.request.id(),
                                attempt.number,
                                attempt.server,
                                elapsedUs(attempt)));
        exchange.responder.stream(
                stream,
                new Relay.Listener() {
                    @Override
                    public void completed() {
                        complete(exchange, ProxyMetrics.RequestResult.SERVED);
                        removeIfCompleted(exchange);
                    }

                    @Override
                    public void failed() {
                        log.write(
                                "response to "
                                        + exchange.request.id()
                                        + " from "
                                        + attempt.server
                                        + " cut off: no progress, or the client has gone");
                        clientGone(exchange.request.id(), exchange.responder);
                        exchange.responder.streamFailed();
                    }
                });
    }

    private long elapsedUs(Exchange.Attempt attempt) {
        return clock.nowUs() - attempt.sentAtUs;
    }

    private void onAttemptCompleted(Exchange exchange, Exchange.Attempt attempt, Result result) {
        attempt.outcome = result.outcome();
        log.trace("attempt-ended", exchange.request.id(), result.outcome());
        long elapsedUs = elapsedUs(attempt);
        if (result.outcome() == Outcome.OK && !exchange.responseChosen) {
            sendResponse(exchange, ProxyResponse.served(result.body()));
        } else if (result.outcome() != Outcome.OK && attempt.streaming && !exchange.completed) {
            complete(exchange, ProxyMetrics.RequestResult.FAILED);
            exchange.responder.streamFailed();
        }
        boolean requestOver = exchange.responseChosen;
        if (result.outcome() != Outcome.OK && result.outcome() != Outcome.CANCELLED) {
            log.write(
                    "attempt "
                            + attempt.number
                            + " of "
                            + exchange.request.id()
                            + " at "
                            + attempt.server
                            + ": "
                            + result.outcome()
                            + " after "
                            + elapsedUs
                            + " us");
        }
        events.add(
                exchange,
                () ->
                        balancer.outcome(
                                clock.nowUs(),
                                exchange.request.id(),
                                attempt.number,
                                attempt.server,
                                result.outcome(),
                                elapsedUs,
                                requestOver,
                                result.report()));
        removeIfCompleted(exchange);
    }

    /** Responds to a request at one of whose events the decision module threw an error. */
    private void respondAfterError(Exchange exchange) {
        if (!exchange.responseChosen) {
            sendResponse(exchange, ProxyResponse.failed());
            removeIfCompleted(exchange);
        }
    }

    // ---- actions of the decision module

    @Override
    public void send(String id, String server, long timeoutUs) {
        long nowUs = clock.nowUs();
        Exchange exchange = exchanges.get(id);
        InetSocketAddress backend = backends.address(server);
        if (exchange == null || backend == null) {
            log.write("send of " + id + " to " + server + ": unknown request or backend");
            return;
        }
        Exchange.Attempt attempt = new Exchange.Attempt(exchange.attempts.size(), server, nowUs);
        exchange.attempts.add(attempt);
        log.trace("attempt", id, server);
        RequestBody body = exchange.request.body();
        // While the body is being uploaded, the deadline has not started yet; the progress of the
        // upload is monitored instead.
        long timeLeftUs = exchange.uploading ? MAX_UPLOAD_US : exchange.deadlineUs - nowUs;
        long attemptTimeoutUs =
                timeoutUs == 0 || exchange.uploading ? timeLeftUs : Math.min(timeoutUs, timeLeftUs);
        if (exchange.responseChosen
                || attemptTimeoutUs <= 0
                || attempt.number >= maxAttempts
                || !body.canBeSent()) {
            loop.execute(
                    () ->
                            onAttemptCompleted(
                                    exchange, attempt, Result.withoutResponse(Outcome.NOT_SENT)));
            return;
        }
        long attemptDeadlineUs =
                exchange.uploading
                        ? nowUs + exchange.request.timeoutUs() - exchange.responder.unreadUs()
                        : nowUs + attemptTimeoutUs;
        attempt.handle =
                pool.send(
                        backend,
                        new RequestSpec(
                                () -> buildRequest(exchange, attemptDeadlineUs),
                                body.isLong() ? body : null,
                                () ->
                                        !exchange.responseChosen
                                                && isUpAt(backend, server)
                                                && mayStillRepeat(exchange)
                                                && clientIsPresent(exchange)
                                                && claimId(exchange),
                                attemptTimeoutUs,
                                Outcome.TIMEOUT),
                        new BackendPool.Listener() {
                            @Override
                            public void onRequestWritten() {
                                log.trace("written", exchange.request.id(), attempt.number);
                                attempt.writtenAtUs = clock.nowUs();
                                metrics.countBackendRequest();
                                if (body.isLong()) {
                                    attempt.sentAtUs = clock.nowUs();
                                    events.add(
                                            exchange,
                                            () ->
                                                    balancer.bodyWritten(
                                                            clock.nowUs(),
                                                            exchange.request.id(),
                                                            attempt.number));
                                }
                            }

                            @Override
                            public void onStreamStarted(ResponseStream stream) {
                                onResponseStarted(exchange, attempt, stream);
                            }

                            @Override
                            public void onResult(Result result) {
                                onAttemptCompleted(exchange, attempt, result);
                            }
                        });
    }

    /**
     * Returns whether a request may still be sent to a backend. The connection may have been
     * established late, and by then the backend may be draining or removed, or the list of backends
     * may be too old to show that.
     */
    private boolean isUpAt(InetSocketAddress backend, String server) {
        return backends.isUpAt(backend, server) && balancer.mayReach(clock.nowUs(), server);
    }

    /**
     * Returns whether the request may be sent again. A keyed request may be sent again only while
     * servers would still recognize it as a duplicate. The decision module orders a repeat in time,
     * but the connection for the repeat may be established too late.
     */
    private boolean mayStillRepeat(Exchange exchange) {
        RequestClass requestClass = classes.get(exchange.request.requestClass());
        return requestClass.effect() != Effect.KEYED
                || exchange.attempts.stream()
                        .filter(Exchange.Attempt::mayHaveRun)
                        .allMatch(
                                attempt ->
                                        clock.nowUs() - attempt.writtenAtUs
                                                < requestClass.dedupWindowUs() - MAX_TRANSIT_US);
    }

    /**
     * Returns whether an attempt may begin because its client still waits. If the client has left,
     * or may have left unseen behind what it sent, the request ends here.
     */
    private boolean clientIsPresent(Exchange exchange) {
        ClientPresence presence = exchange.responder.clientPresence();
        if (presence == ClientPresence.GONE) {
            log.trace("gone-before-attempt", exchange.request.id(), "");
            clientGone(exchange.request.id(), exchange.responder);
        } else if (presence == ClientPresence.UNKNOWN) {
            log.write(
                    "request "
                            + exchange.request.id()
                            + " not sent on: its client may have left behind unread input");
            exchange.responder.closeIfBodyIsMissing();
            refuseOrFail(exchange);
        }
        return presence == ClientPresence.PRESENT;
    }

    /** Ends a request that cannot be sent on: refuses it if it cannot have run. */
    private void refuseOrFail(Exchange exchange) {
        respondUnasked(
                exchange,
                exchange.writtenAndMayHaveRun()
                        ? ProxyResponse.failed()
                        : ProxyResponse.refused(
                                Math.min(OVERLOAD_RETRY_AFTER_US, maxRetryAfterUs)));
    }

    /**
     * Returns whether an attempt may begin because the request cannot have run under the same id
     * before. Otherwise the request ends here.
     */
    private boolean claimId(Exchange exchange) {
        ClaimedIds.Claim claim = runOnceGuard.claim(exchange);
        if (claim == ClaimedIds.Claim.CLAIMED_BEFORE) {
            log.write("request " + exchange.request.id() + " not sent on: it may have run before");
            respondUnasked(exchange, ProxyResponse.failed());
        } else if (claim == ClaimedIds.Claim.FULL) {
            log.write("request " + exchange.request.id() + " not sent on: too many ids are in use");
            refuseOrFail(exchange);
        }
        return claim == ClaimedIds.Claim.CLAIMED;
    }

    private HttpRequest buildRequest(Exchange exchange, long deadlineUs) {
        if (exchange.request.body().isLong()) {
            events.add(exchange, () -> balancer.bodySpent(clock.nowUs(), exchange.request.id()));
        }
        return BackendRequests.buildRequest(exchange.request, deadlineUs - clock.nowUs());
    }

    @Override
    public void refuse(String id, long retryAfterUs) {
        respondOnce(id, ProxyResponse.refused(retryAfterUs));
    }

    @Override
    public void fail(String id) {
        respondOnce(id, ProxyResponse.failed());
    }

    private void respondOnce(String id, ProxyResponse response) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && !exchange.responseChosen) {
            sendResponse(exchange, response);
            removeIfCompleted(exchange);
        }
    }

    @Override
    public void cancel(String id, int number) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null
                && number < exchange.attempts.size()
                && exchange.attempts.get(number).handle != null) {
            exchange.attempts.get(number).handle.cancel();
        }
    }

    @Override
    public void closeIdle(String server) {
        InetSocketAddress backend = backends.address(server);
        if (backend != null) {
            pool.closeIdleConnections(backend);
        }
    }

    @Override
    public void probe(String server) {
        InetSocketAddress backend = backends.address(server);
        if (backend == null) {
            return;
        }
        long sentAtUs = clock.nowUs();
        pool.send(
                backend,
                new RequestSpec(
                        BackendRequests::buildProbe,
                        null,
                        () -> isUpAt(backend, server),
                        PROBE_TIMEOUT_US,
                        Outcome.TIMEOUT),
                result ->
                        events.add(
                                () -> {
                                    long nowUs = clock.nowUs();
                                    balancer.probeResult(
                                            nowUs,
                                            server,
                                            result.outcome(),
                                            nowUs - sentAtUs,
                                            loadReport(result));
                                }));
    }

    private static LoadReport loadReport(Result result) {
        return result.report() != null || result.body() == null
                ? result.report()
                : LoadReportParser.parse(new String(result.body(), StandardCharsets.UTF_8));
    }

    @Override
    public void wakeAt(long atUs) {
        loop.schedule(
                () -> events.add(() -> balancer.timer(clock.nowUs())),
                Math.max(0, atUs - clock.nowUs()),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void watchServers() {
        discovery.startWatch();
    }

    @Override
    public void log(String text) {
        log.write(text);
    }

    // ---- requests

    /** Sends the final response. */
    private void sendResponse(Exchange exchange, ProxyResponse response) {
        markResponseChosen(exchange);
        complete(exchange, resultOf(response));
        exchange.responder.respond(response);
    }

    private static ProxyMetrics.RequestResult resultOf(ProxyResponse response) {
        return response.status().equals(HttpResponseStatus.OK)
                ? ProxyMetrics.RequestResult.SERVED
                : response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                        ? ProxyMetrics.RequestResult.REFUSED
                        : ProxyMetrics.RequestResult.FAILED;
    }

    /** Marks the final response as chosen, though it may not be sent completely yet. */
    private static void markResponseChosen(Exchange exchange) {
        exchange.responseChosen = true;
        exchange.cancelFallbackTimer();
    }

    /**
     * Completes a request. Every request is completed by this method; {@code result} is null if the
     * client has left.
     */
    private void complete(Exchange exchange, ProxyMetrics.RequestResult result) {
        exchange.completed = true;
        log.trace("ended", exchange.request.id(), result);
        if (result != null) {
            metrics.countRequest(exchange.request.requestClass(), result);
        }
        finishUpload(exchange);
        exchange.request.body().drop();
        unansweredCount--;
    }

    /**
     * Removes a request if it is completed and all its attempts have ended. A completed request is
     * kept until then, as the decision module is notified of the end of every attempt.
     */
    private void removeIfCompleted(Exchange exchange) {
        if (exchange.completed
                && exchange.attempts.stream().allMatch(attempt -> attempt.outcome != null)
                && exchanges.remove(exchange.request.id(), exchange)) {
            runOnceGuard.onCompleted(exchange);
        }
    }
}
