package passhatch.proxy;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
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
import passhatch.proxy.backend.BackendPool.Outgoing;
import passhatch.proxy.backend.BackendPool.Result;
import passhatch.proxy.backend.LoadText;
import passhatch.proxy.base.Clock;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.base.HoldUps;
import passhatch.proxy.client.Answer;
import passhatch.proxy.client.ProxyRequest;
import passhatch.proxy.client.RequestHandler;
import passhatch.proxy.control.Figures;
import passhatch.proxy.discovery.Discovery;
import passhatch.proxy.discovery.EndpointList;
import passhatch.proxy.discovery.ListWatch;
import passhatch.proxy.flow.AnswerStream;
import passhatch.proxy.flow.Relay;
import passhatch.proxy.flow.RequestBody;

/**
 * The only caller of the decision module: tells it what happens and does what it asks. It holds the
 * state of the requests taken and sees to it that each gets exactly one final answer in time.
 */
final class ProxyLoop implements Actions, ListWatch.Listener, RequestHandler {

    /**
     * How long before its client's time is up a request ends here: the answer has to travel, and
     * the loop may be late. Of a short time it is a part only.
     */
    private static final long ANSWER_MARGIN_US = 20_000;

    private static final long MARGIN_PART = 8;

    /** One part in so many of a client's time is the most that hold-ups may take of it. */
    private static final long MOST_AHEAD = 4;

    /** How long after that the answer is given here if the module has given none. */
    private static final long BACKSTOP_US = 5_000;

    /**
     * A probe is given up after this: a load that old is no longer true, and the module takes the
     * time of each answer into the mean that it waits for.
     */
    private static final long PROBE_TIMEOUT_US = 50_000;

    /** A message may be so long on its way, with the handshake of a new connection before it. */
    private static final long ON_ITS_WAY_US = 100_000;

    /** A timer that is set now fires after what the loop is at. */
    private static final long CATCH_UP_MS = 1;

    /** A body that has not come whole by then never will: the slowest is sent at 64 kB a second. */
    private static final long LONGEST_UPLOAD_US = 600_000_000;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final BackendPool pool;
    private final Figures figures;
    private final HoldUps holdUps;
    private final Discovery discovery;
    private final Balancer balancer;
    private final int maxAttempts;
    private final List<RequestClass> classes;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final KnownBackends backends = new KnownBackends();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private boolean deciding;

    /** The loop was held up and has not looked at all connections since. */
    private boolean catchingUp;

    private boolean listed;

    /** When requests should come here though no list has come in. */
    private final long servesKnownAtUs;

    private int unanswered;

    /** Of these, requests whose bodies are still coming. */
    private int uploading;

    /** What is taken from now on is answered by then. */
    private long lastAnswerUs = Long.MAX_VALUE;

    /** Something to tell the module. */
    private record Event(Exchange about, Runnable tell) {}

    ProxyLoop(
            EventLoop loop,
            Clock clock,
            EventLog log,
            ProxyConfig config,
            BackendPool pool,
            HoldUps holdUps,
            ProxyServer.Module module) {
        this.figures = new Figures(config.classes());
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.pool = pool;
        this.holdUps = holdUps;
        this.maxAttempts = config.settings().limits().maxAttempts();
        this.classes = config.settings().classes();
        this.discovery =
                new Discovery(
                        loop,
                        clock,
                        holdUps,
                        log,
                        new ListWatch.Source(
                                config.discovery(),
                                config.known(),
                                config.settings().watch(),
                                config.zones(),
                                config.models(),
                                config.settings().rules().drainGraceUs()),
                        config.seed(),
                        this);
        this.balancer = module.create(config.settings(), config.seed(), this);
        remember(config.known());
        servesKnownAtUs =
                backends.listed() == 0
                        ? Long.MAX_VALUE
                        : clock.nowUs() + ListLease.UNCONFIRMED_START_TIMEOUT_US;
        if (!config.settings().watch()) {
            discovery.watch();
        }
    }

    /** Whether a list of backends has come in since the start, or the one given then has to do. */
    @Override
    public boolean ready() {
        return listed || clock.nowUs() >= servesKnownAtUs;
    }

    /** Has all that is taken from now on answered within this time. */
    void answerWithin(long us) {
        lastAnswerUs = clock.nowUs() + us;
    }

    int unanswered() {
        return unanswered;
    }

    /** Requests that are remembered, those too of which an attempt is still out. */
    int held() {
        return exchanges.size();
    }

    /** What operators are told, a line each. */
    String figures() {
        return figures.text(
                unanswered - uploading, backends.listed(), balancer.hostsDown(clock.nowUs()));
    }

    /** Discovery is found at another address from now on. */
    void discoveryMoved(InetSocketAddress to) {
        discovery.moveTo(to);
    }

    void stop() {
        discovery.stop();
    }

    // ---- what happens

    private void remember(EndpointList known) {
        learn(known);
        tell(
                null,
                () -> balancer.serversChanged(clock.nowUs(), ListKind.REMEMBERED, known.servers()));
    }

    @Override
    public void listed(EndpointList list, ListFreshness currency) {
        learn(list);
        listed = true;
        tell(
                null,
                () ->
                        balancer.serversChanged(
                                clock.nowUs(),
                                list.whole() ? ListKind.WHOLE : ListKind.CHANGES,
                                list.servers(),
                                currency));
    }

    @Override
    public void unchanged(ListFreshness currency) {
        tell(null, () -> balancer.listCurrent(clock.nowUs(), currency));
    }

    @Override
    public void pending(long sinceUs) {
        tell(null, () -> balancer.listPending(sinceUs));
    }

    @Override
    public void lost() {
        tell(null, () -> balancer.discoveryFailed(clock.nowUs()));
    }

    @Override
    public void turnedAway() {
        tell(null, balancer::discoveryTurnedAway);
    }

    @Override
    public void reached() {
        tell(null, balancer::discoveryReached);
    }

    @Override
    public void moved() {
        tell(
                null,
                () -> {
                    long nowUs = clock.nowUs();
                    balancer.discoveryMoved(nowUs, nowUs - holdUps.unreadUs(nowUs));
                });
    }

    private void learn(EndpointList list) {
        backends.learn(list).forEach(pool::closeIdle);
    }

    @Override
    public boolean take(ProxyRequest request, long unreadUs, Responder responder) {
        Exchange e = new Exchange(request, responder);
        if (exchanges.putIfAbsent(request.id(), e) != null) {
            return false;
        }
        unanswered++;
        log.trace("taken", request.id(), request.budgetUs());
        e.uploading = !request.body().ended();
        if (e.uploading) {
            uploading++;
        } else {
            runClock(e, unreadUs);
        }
        long givenUs = e.uploading ? request.budgetUs() : 0;
        tell(
                e,
                () -> {
                    long at = clock.nowUs();
                    balancer.request(
                            at,
                            new Request(
                                    request.id(),
                                    request.requestClass(),
                                    request.tenant(),
                                    Math.max(0, givenUs > 0 ? givenUs : e.deadlineUs - at),
                                    request.workUs(),
                                    request.retry()));
                });
        return true;
    }

    @Override
    public void bodyEnded(String id, long unreadUs) {
        Exchange e = exchanges.get(id);
        if (e == null || !e.uploading) {
            return;
        }
        stopUploading(e);
        if (!e.answered) {
            runClock(e, unreadUs);
            for (Exchange.Attempt a : e.attempts) {
                if (a.outcome == null && a.handle != null) {
                    a.handle.endWithin(e.deadlineUs - clock.nowUs());
                }
            }
        }
    }

    private void stopUploading(Exchange e) {
        if (e.uploading) {
            e.uploading = false;
            uploading--;
        }
    }

    private void runClock(Exchange e, long unreadUs) {
        long now = clock.nowUs();
        // A process that is held up now and then cannot tell when: it answers so much sooner, if
        // time allows.
        long budgetUs = e.request.budgetUs();
        long aheadUs =
                Math.min(ANSWER_MARGIN_US, budgetUs / MARGIN_PART)
                        + Math.min(holdUps.answerAheadUs(), budgetUs / MOST_AHEAD);
        e.deadlineUs = Math.min(now + budgetUs - unreadUs - aheadUs, lastAnswerUs);
        e.backstop =
                loop.schedule(
                        () -> overdue(e),
                        Math.max(0, e.deadlineUs - now) + BACKSTOP_US,
                        TimeUnit.MICROSECONDS);
    }

    @Override
    public void clientGone(String id) {
        Exchange e = exchanges.get(id);
        if (e == null || e.ended) {
            return;
        }
        boolean streams = e.answered;
        decide(e);
        end(e, null);
        if (streams) {
            giveUpAttempts(e);
        } else {
            tell(e, () -> balancer.clientGone(clock.nowUs(), id));
        }
        forget(e);
    }

    private static void giveUpAttempts(Exchange e) {
        for (Exchange.Attempt a : e.attempts) {
            if (a.outcome == null && a.handle != null) {
                a.handle.cancel();
            }
        }
    }

    /**
     * Guards against a request that the module holds too long: it is answered here, just in time.
     */
    private void overdue(Exchange e) {
        if (!e.answered) {
            log.line("request " + e.request.id() + " was not answered in time by the module");
            answer(e, e.mayHaveRun() ? Answer.failed() : Answer.refused(0));
            tell(e, () -> balancer.clientGone(clock.nowUs(), e.request.id()));
            forget(e);
        }
    }

    /** What was begun is the final answer: no other attempt counts from now on. */
    private void answerBegun(Exchange e, Exchange.Attempt attempt, AnswerStream stream) {
        if (e.answered) {
            attempt.handle.cancel();
            return;
        }
        decide(e);
        attempt.streams = true;
        log.trace("streams", e.request.id(), stream.length());
        tell(
                e,
                () ->
                        balancer.streamStarted(
                                clock.nowUs(),
                                e.request.id(),
                                attempt.number,
                                attempt.server,
                                elapsedUs(attempt)));
        e.responder.stream(
                stream,
                new Relay.Listener() {
                    @Override
                    public void passed() {
                        end(e, Figures.Ending.SERVED);
                        forget(e);
                    }

                    @Override
                    public void broken() {
                        clientGone(e.request.id());
                        e.responder.broken();
                    }
                });
    }

    private long elapsedUs(Exchange.Attempt attempt) {
        return clock.nowUs() - attempt.sentAtUs;
    }

    private void attemptEnded(Exchange e, Exchange.Attempt attempt, Result result) {
        attempt.outcome = result.outcome();
        log.trace("attempt-ended", e.request.id(), result.outcome());
        long elapsedUs = elapsedUs(attempt);
        if (result.outcome() == Outcome.OK && !e.answered) {
            answer(e, Answer.served(result.body()));
        } else if (result.outcome() != Outcome.OK && attempt.streams && !e.ended) {
            end(e, Figures.Ending.FAILED);
            e.responder.broken();
        }
        boolean ended = e.answered;
        if (result.outcome() != Outcome.OK && result.outcome() != Outcome.CANCELLED) {
            log.line(
                    "attempt "
                            + attempt.number
                            + " of "
                            + e.request.id()
                            + " at "
                            + attempt.server
                            + ": "
                            + result.outcome()
                            + " after "
                            + elapsedUs
                            + " us");
        }
        tell(
                e,
                () ->
                        balancer.outcome(
                                clock.nowUs(),
                                e.request.id(),
                                attempt.number,
                                attempt.server,
                                result.outcome(),
                                elapsedUs,
                                ended,
                                result.report()));
        forget(e);
    }

    /**
     * Tells the module of an event, after those before it. The module must not be called from
     * within one of its actions, so what an action brings about at once waits here until the module
     * has returned.
     */
    private void tell(Exchange about, Runnable what) {
        events.add(new Event(about, what));
        if (deciding) {
            return;
        }
        noteHoldUp();
        deciding = true;
        for (Event event = events.poll(); event != null; event = events.poll()) {
            try {
                event.tell().run();
            } catch (RuntimeException | Error bug) {
                // Whatever it was, the events behind it are still to be told, and so are all later
                // ones.
                log.bug("in the decision module", bug);
                if (event.about() != null && !event.about().answered) {
                    answer(event.about(), Answer.failed());
                    forget(event.about());
                }
            }
        }
        deciding = false;
    }

    /**
     * After a hold-up what discovery told meanwhile may stand unread behind what is decided now. It
     * has been read once the loop has looked at all connections again: of two timers, one set by
     * the other, the second fires after that.
     */
    private void noteHoldUp() {
        long nowUs = clock.nowUs();
        long unreadUs = holdUps.unreadUs(nowUs);
        if (unreadUs <= ListLease.MAX_STALL_US || catchingUp) {
            return;
        }
        catchingUp = true;
        balancer.listUnread(nowUs - unreadUs);
        log.line("held up for " + TimeUnit.MICROSECONDS.toMillis(unreadUs) + " ms");
        loop.schedule(
                () -> loop.schedule(this::caughtUp, CATCH_UP_MS, TimeUnit.MILLISECONDS),
                CATCH_UP_MS,
                TimeUnit.MILLISECONDS);
    }

    private void caughtUp() {
        catchingUp = false;
        if (holdUps.unreadUs(clock.nowUs()) <= ListLease.MAX_STALL_US) {
            tell(null, () -> balancer.listRead(clock.nowUs()));
        } else {
            noteHoldUp();
        }
    }

    // ---- what the module asks for

    @Override
    public void send(String id, String server, long timeoutUs) {
        long now = clock.nowUs();
        Exchange e = exchanges.get(id);
        InetSocketAddress backend = backends.address(server);
        if (e == null || backend == null) {
            log.line(
                    "send of "
                            + id
                            + " to "
                            + server
                            + ": the request or the backend is not known");
            return;
        }
        Exchange.Attempt attempt = new Exchange.Attempt(e.attempts.size(), server, now);
        e.attempts.add(attempt);
        log.trace("attempt", id, server);
        RequestBody body = e.request.body();
        // The time of one that is still coming runs once it has come; until then its progress is
        // watched.
        long leftUs = e.uploading ? LONGEST_UPLOAD_US : e.deadlineUs - now;
        long waitUs = timeoutUs == 0 || e.uploading ? leftUs : Math.min(timeoutUs, leftUs);
        if (e.answered || waitUs <= 0 || attempt.number >= maxAttempts || !body.canBeSent()) {
            loop.execute(() -> attemptEnded(e, attempt, Result.without(Outcome.NOT_SENT)));
            return;
        }
        long untilUs = e.uploading ? now + e.request.budgetUs() : now + waitUs;
        attempt.handle =
                pool.send(
                        backend,
                        new Outgoing(
                                () -> message(e, untilUs),
                                body.isLong() ? body : null,
                                () -> !e.answered && isUpAt(backend, server) && mayStillRepeat(e),
                                waitUs,
                                Outcome.TIMEOUT),
                        new BackendPool.Listener() {
                            @Override
                            public void written() {
                                log.trace("written", e.request.id(), attempt.number);
                                attempt.writtenAtUs = clock.nowUs();
                                figures.backendCall();
                                if (body.isLong()) {
                                    attempt.sentAtUs = clock.nowUs();
                                    tell(
                                            e,
                                            () ->
                                                    balancer.bodyWritten(
                                                            clock.nowUs(),
                                                            e.request.id(),
                                                            attempt.number));
                                }
                            }

                            @Override
                            public void begun(AnswerStream answer) {
                                answerBegun(e, attempt, answer);
                            }

                            @Override
                            public void done(Result result) {
                                attemptEnded(e, attempt, result);
                            }
                        });
    }

    /**
     * Guards against a connection that comes up late: one to a backend that drains or has gone by
     * then, or may have, is sent nothing.
     */
    private boolean isUpAt(InetSocketAddress backend, String server) {
        return backends.isUpAt(backend, server) && balancer.mayReach(clock.nowUs(), server);
    }

    /**
     * And so is a repeat by a key that its server would no longer drop: the module asked for it in
     * time, but its connection may have come up after that.
     */
    private boolean mayStillRepeat(Exchange e) {
        RequestClass kind = classes.get(e.request.requestClass());
        return kind.effect() != Effect.KEYED
                || e.attempts.stream()
                        .filter(Exchange.Attempt::mayHaveRun)
                        .allMatch(
                                a ->
                                        clock.nowUs() - a.writtenAtUs
                                                < kind.dedupWindowUs() - ON_ITS_WAY_US);
    }

    private HttpRequest message(Exchange e, long untilUs) {
        if (e.request.body().isLong()) {
            tell(e, () -> balancer.bodySpent(clock.nowUs(), e.request.id()));
        }
        return Messages.request(e.request, untilUs - clock.nowUs());
    }

    @Override
    public void refuse(String id, long retryAfterUs) {
        finish(id, Answer.refused(retryAfterUs));
    }

    @Override
    public void fail(String id) {
        finish(id, Answer.failed());
    }

    private void finish(String id, Answer answer) {
        Exchange e = exchanges.get(id);
        if (e != null && !e.answered) {
            answer(e, answer);
            forget(e);
        }
    }

    @Override
    public void cancel(String id, int number) {
        Exchange e = exchanges.get(id);
        if (e != null && number < e.attempts.size() && e.attempts.get(number).handle != null) {
            e.attempts.get(number).handle.cancel();
        }
    }

    @Override
    public void closeIdle(String server) {
        InetSocketAddress backend = backends.address(server);
        if (backend != null) {
            pool.closeIdle(backend);
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
                new Outgoing(
                        Messages::probe,
                        null,
                        () -> isUpAt(backend, server),
                        PROBE_TIMEOUT_US,
                        Outcome.TIMEOUT),
                result ->
                        tell(
                                null,
                                () -> {
                                    long now = clock.nowUs();
                                    balancer.probeResult(
                                            now,
                                            server,
                                            result.outcome(),
                                            now - sentAtUs,
                                            report(result));
                                }));
    }

    private static LoadReport report(Result result) {
        return result.report() != null || result.body() == null
                ? result.report()
                : LoadText.parse(new String(result.body(), StandardCharsets.UTF_8));
    }

    @Override
    public void wakeAt(long atUs) {
        loop.schedule(
                () -> tell(null, () -> balancer.timer(clock.nowUs())),
                Math.max(0, atUs - clock.nowUs()),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void watchServers() {
        discovery.watch();
    }

    @Override
    public void log(String text) {
        log.line(text);
    }

    // ---- requests

    /** Gives the one final answer. */
    private void answer(Exchange e, Answer answer) {
        decide(e);
        end(e, ending(answer));
        e.responder.answer(answer);
    }

    private static Figures.Ending ending(Answer answer) {
        return answer.status().equals(HttpResponseStatus.OK)
                ? Figures.Ending.SERVED
                : answer.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                        ? Figures.Ending.REFUSED
                        : Figures.Ending.FAILED;
    }

    /** The final answer is settled, though it may still be on its way. */
    private static void decide(Exchange e) {
        e.answered = true;
        if (e.backstop != null) {
            e.backstop.cancel(false);
        }
    }

    /** The one place where a request ends; with null where its client has left. */
    private void end(Exchange e, Figures.Ending how) {
        e.ended = true;
        log.trace("ended", e.request.id(), how);
        if (how != null) {
            figures.ended(e.request.requestClass(), how);
        }
        stopUploading(e);
        e.request.body().drop();
        unanswered--;
    }

    /**
     * A request is remembered until its last attempt has ended, as the module is told of that too.
     */
    private void forget(Exchange e) {
        if (e.ended && e.attempts.stream().allMatch(a -> a.outcome != null)) {
            exchanges.remove(e.request.id(), e);
        }
    }
}
