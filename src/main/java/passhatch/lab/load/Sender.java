package passhatch.lab.load;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Promise;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Sends the requests of one of the load generator's threads. Each sender has separate connections
 * and statistics.
 */
final class Sender {

    /**
     * Maximum number of open connections per thread. A request that needs a further connection
     * waits, and this wait counts towards its latency.
     */
    private static final int MAX_OPEN_CONNECTIONS = 2_000;

    /** How long after its deadline a request without a response is given up. */
    private static final long RESPONSE_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(500);

    private final LoadPlan plan;
    private final ProxyPool proxies;
    private final EventLoop loop;
    private final UniformRandomProvider random;
    private final Consumer<Outcome> completionListener;
    private final Promise<LoadStats> completion;
    private final LoadStats stats = new LoadStats();
    private final Map<ProxyPool.ProxyEndpoint, ArrayDeque<ClientChannel>> idleChannels =
            new HashMap<>();

    /** Requests that wait because no further connection may be opened, oldest first. */
    private final ArrayDeque<ClientRequest> waitingForConnection = new ArrayDeque<>();

    private int openChannelCount;
    private final ContinuousSampler arrivalGapNs;
    private final double totalWeight;
    private final String idPrefix;
    private int nextProxyIndex;
    private long nextIdNumber;
    private long startNs;
    private double nextDueNs;
    private int pendingRequestCount;
    private boolean arrivalsEnded;

    Sender(
            LoadPlan plan,
            ProxyPool proxies,
            EventLoop loop,
            UniformRandomProvider random,
            int index,
            Consumer<Outcome> completionListener) {
        this.plan = plan;
        this.proxies = proxies;
        this.loop = loop;
        this.random = random;
        this.completionListener = completionListener;
        this.completion = loop.newPromise();
        this.nextProxyIndex = index;
        this.idPrefix = Long.toHexString(random.nextLong()) + "-";
        this.totalWeight =
                plan.requestClasses().stream().mapToDouble(LoadPlan.RequestClass::weight).sum();
        double meanGapNs = 1e9 * plan.threads() / plan.requestsPerSecond();
        this.arrivalGapNs =
                plan.evenlySpaced()
                        ? () -> meanGapNs
                        : ZigguratSampler.Exponential.of(random, meanGapNs);
    }

    void start(long loadStartNs) {
        startNs = loadStartNs;
        loop.scheduleAtFixedRate(this::tick, 0, plan.tickUs(), TimeUnit.MICROSECONDS);
    }

    Promise<LoadStats> completion() {
        return completion;
    }

    EventLoop loop() {
        return loop;
    }

    private void tick() {
        long elapsedNs = System.nanoTime() - startNs;
        while (!arrivalsEnded && nextDueNs <= elapsedNs) {
            if (nextDueNs >= TimeUnit.MILLISECONDS.toNanos(plan.durationMs())) {
                arrivalsEnded = true;
                completeIfAllEnded();
            } else {
                startRequest((long) nextDueNs);
                nextDueNs += arrivalGapNs.sample();
            }
        }
    }

    private void startRequest(long dueNs) {
        ClientRequest request = new ClientRequest(chooseClass(), dueNs);
        pendingRequestCount++;
        stats.recordSendDelay(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs - dueNs));
        request.startAttempt(proxies.nextAdmitted(nextProxyIndex++, null));
    }

    private LoadPlan.RequestClass chooseClass() {
        double remainingWeight = random.nextDouble() * totalWeight;
        for (LoadPlan.RequestClass requestClass : plan.requestClasses()) {
            remainingWeight -= requestClass.weight();
            if (remainingWeight < 0) {
                return requestClass;
            }
        }
        return plan.requestClasses().get(plan.requestClasses().size() - 1);
    }

    private void completeIfAllEnded() {
        if (arrivalsEnded && pendingRequestCount == 0) {
            completion.trySuccess(stats);
        }
    }

    // ---- connections

    private ClientChannel takeIdle(ProxyPool.ProxyEndpoint proxy) {
        ArrayDeque<ClientChannel> idle = idleChannels.get(proxy);
        while (idle != null && !idle.isEmpty()) {
            ClientChannel channel = idle.pollFirst();
            if (channel.usable()) {
                return channel;
            }
        }
        return null;
    }

    void connectionOpened() {
        openChannelCount++;
    }

    void connectionClosed() {
        openChannelCount--;
        ClientRequest next = waitingForConnection.poll();
        if (next != null) {
            // The attempt is deferred, as this method may run while another request is being
            // completed.
            loop.execute(() -> next.startAttempt(proxies.nextAdmitted(nextProxyIndex++, null)));
        }
    }

    void releaseChannel(ProxyPool.ProxyEndpoint proxy, ClientChannel channel) {
        ClientRequest next = waitingForConnection.poll();
        if (next != null) {
            next.startAttemptOn(proxy, channel);
            return;
        }
        ArrayDeque<ClientChannel> idle =
                idleChannels.computeIfAbsent(proxy, p -> new ArrayDeque<>());
        if (idle.size() >= Math.max(1, plan.maxIdleConnections() / plan.threads())) {
            channel.close();
        } else {
            idle.addFirst(channel);
        }
    }

    /** A client's request with all of its attempts. */
    final class ClientRequest {
        private final LoadPlan.RequestClass requestClass;
        private final long dueNs;
        private final long deadlineNs;
        private ProxyPool.ProxyEndpoint proxy;
        private String id;
        private String idempotencyKey;
        private int attempts;
        private long sentNs;

        /**
         * Whether the current attempt was sent a second time under the same id because its reused
         * connection closed without a response.
         */
        private boolean resent;

        private ClientChannel channel;
        private boolean completed;

        ClientRequest(LoadPlan.RequestClass requestClass, long dueNs) {
            this.requestClass = requestClass;
            this.dueNs = dueNs;
            this.deadlineNs =
                    startNs + dueNs + TimeUnit.MICROSECONDS.toNanos(requestClass.deadlineUs());
            loop.schedule(
                    this::onTimeout,
                    deadlineNs + RESPONSE_GRACE_NS - System.nanoTime(),
                    TimeUnit.NANOSECONDS);
        }

        LoadPlan.RequestClass requestClass() {
            return requestClass;
        }

        String id() {
            return id;
        }

        /** Returns the idempotency key, which is the same for all attempts of this request. */
        String idempotencyKey() {
            return idempotencyKey;
        }

        long remainingUs() {
            return Math.max(1, TimeUnit.NANOSECONDS.toMicros(deadlineNs - System.nanoTime()));
        }

        void startAttempt(ProxyPool.ProxyEndpoint target) {
            if (target == null || completed) {
                complete(Outcome.CUT); // no proxy is admitted
                return;
            }
            ClientChannel idle = takeIdle(target);
            if (idle == null && openChannelCount >= MAX_OPEN_CONNECTIONS) {
                waitingForConnection.add(this);
            } else {
                startAttemptOn(target, idle);
            }
        }

        private void startAttemptOn(ProxyPool.ProxyEndpoint target, ClientChannel connection) {
            if (completed) {
                if (connection != null) {
                    releaseChannel(target, connection);
                }
                return;
            }
            attempts++;
            id = idPrefix + Long.toHexString(nextIdNumber++);
            idempotencyKey = idempotencyKey == null ? id : idempotencyKey;
            resent = false;
            send(target, connection);
        }

        private void send(ProxyPool.ProxyEndpoint target, ClientChannel connection) {
            proxy = target;
            sentNs = System.nanoTime();
            channel = connection == null ? new ClientChannel(Sender.this, target) : connection;
            channel.send(this);
        }

        /** Handles a complete response to this request. */
        void onResponse(int status, boolean bodyIsCorrect) {
            if (status == 200) {
                complete(
                        !bodyIsCorrect
                                ? Outcome.SPOILT
                                : System.nanoTime() <= deadlineNs ? Outcome.SERVED : Outcome.LATE);
            } else if (status == 429 || status == 503) {
                retryOrComplete(Outcome.REFUSED, true);
            } else {
                retryOrComplete(Outcome.FAILED, requestClass.effect() != LoadPlan.Effect.UNSAFE);
            }
        }

        /**
         * Handles the end of this request's connection before a response.
         *
         * @param connected whether the connection had been established
         * @param reused whether the connection had carried a response before, so that the proxy may
         *     have closed the connection before this request arrived
         */
        void onConnectionEnded(boolean connected, boolean reused) {
            if (proxy.faultySince(sentNs)) {
                retryOrComplete(
                        Outcome.CUT, !connected || requestClass.effect() != LoadPlan.Effect.UNSAFE);
            } else if (reused && !resent) {
                resent = true;
                send(proxy, null);
            } else {
                retryOrComplete(connected ? Outcome.LOST : Outcome.CUT, !connected);
            }
        }

        /**
         * Retries this request if it can be repeated safely, the maximum number of retries is not
         * reached, the deadline has not passed and a proxy is admitted. Otherwise completes this
         * request with the outcome. A lost request is never retried.
         */
        private void retryOrComplete(Outcome outcome, boolean repeatable) {
            ProxyPool.ProxyEndpoint target = proxies.nextAdmitted(nextProxyIndex++, proxy);
            if (repeatable
                    && outcome != Outcome.LOST
                    && attempts <= plan.maxRetries()
                    && System.nanoTime() < deadlineNs
                    && target != null) {
                stats.recordRetry();
                startAttempt(target);
            } else {
                complete(outcome);
            }
        }

        private void onTimeout() {
            if (!completed) {
                Outcome outcome =
                        proxy == null || proxy.faultySince(sentNs) ? Outcome.CUT : Outcome.LOST;
                if (channel != null) {
                    channel.abandon();
                }
                complete(outcome);
            }
        }

        private void complete(Outcome outcome) {
            if (!completed) {
                completed = true;
                pendingRequestCount--;
                stats.recordCompletion(
                        TimeUnit.NANOSECONDS.toMillis(dueNs),
                        outcome,
                        TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs - dueNs));
                completionListener.accept(outcome);
                completeIfAllEnded();
            }
        }
    }
}
