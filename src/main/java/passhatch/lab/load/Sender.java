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

/** One thread's part of the load, with its own connections and its own tally. */
final class Sender {

    /**
     * Connections that a thread may have open: past that requests wait, and their waiting counts.
     */
    private static final int MOST_OPEN = 2_000;

    /** A request without an answer so long after its time is lost. */
    private static final long GRACE_NS = TimeUnit.MILLISECONDS.toNanos(500);

    private final LoadPlan plan;
    private final Front front;
    private final EventLoop loop;
    private final UniformRandomProvider random;
    private final Consumer<Outcome> heard;
    private final Promise<Tally> done;
    private final Tally tally = new Tally();
    private final Map<Front.Entry, ArrayDeque<ClientChannel>> idle = new HashMap<>();

    /** Requests for which no connection may be opened now, the first due first. */
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();

    private int openChannels;
    private final ContinuousSampler gapNs;
    private final double totalShare;
    private final String idPrefix;
    private int turn;
    private long sequence;
    private long beganNs;
    private double dueNs;
    private int open;
    private boolean over;

    Sender(
            LoadPlan plan,
            Front front,
            EventLoop loop,
            UniformRandomProvider random,
            int number,
            Consumer<Outcome> heard) {
        this.plan = plan;
        this.front = front;
        this.loop = loop;
        this.random = random;
        this.heard = heard;
        this.done = loop.newPromise();
        this.turn = number;
        this.idPrefix = Long.toHexString(random.nextLong()) + "-";
        this.totalShare = plan.kinds().stream().mapToDouble(LoadPlan.Kind::share).sum();
        double meanNs = 1e9 * plan.threads() / plan.rate();
        this.gapNs = plan.even() ? () -> meanNs : ZigguratSampler.Exponential.of(random, meanNs);
    }

    void begin(long atNs) {
        beganNs = atNs;
        loop.scheduleAtFixedRate(this::tick, 0, plan.tickUs(), TimeUnit.MICROSECONDS);
    }

    Promise<Tally> done() {
        return done;
    }

    EventLoop loop() {
        return loop;
    }

    private void tick() {
        long now = System.nanoTime() - beganNs;
        while (!over && dueNs <= now) {
            if (dueNs >= TimeUnit.MILLISECONDS.toNanos(plan.durationMs())) {
                over = true;
                endIfOver();
            } else {
                arrive((long) dueNs);
                dueNs += gapNs.sample();
            }
        }
    }

    private void arrive(long due) {
        Call call = new Call(kind(), due);
        open++;
        tally.sent(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - beganNs - due));
        call.attempt(front.next(turn++, null));
    }

    private LoadPlan.Kind kind() {
        double at = random.nextDouble() * totalShare;
        for (LoadPlan.Kind kind : plan.kinds()) {
            at -= kind.share();
            if (at < 0) {
                return kind;
            }
        }
        return plan.kinds().get(plan.kinds().size() - 1);
    }

    private void endIfOver() {
        if (over && open == 0) {
            done.trySuccess(tally);
        }
    }

    // ---- connections

    private ClientChannel takeIdle(Front.Entry proxy) {
        ArrayDeque<ClientChannel> kept = idle.get(proxy);
        while (kept != null && !kept.isEmpty()) {
            ClientChannel channel = kept.pollFirst();
            if (channel.usable()) {
                return channel;
            }
        }
        return null;
    }

    void opened() {
        openChannels++;
    }

    void closed() {
        openChannels--;
        Call next = waiting.poll();
        if (next != null) {
            // In a later step: this one may be within the end of another request.
            loop.execute(() -> next.attempt(front.next(turn++, null)));
        }
    }

    void keep(Front.Entry proxy, ClientChannel channel) {
        Call next = waiting.poll();
        if (next != null) {
            next.attemptOn(proxy, channel);
            return;
        }
        ArrayDeque<ClientChannel> kept = idle.computeIfAbsent(proxy, p -> new ArrayDeque<>());
        if (kept.size() >= Math.max(1, plan.connections() / plan.threads())) {
            channel.close();
        } else {
            kept.addFirst(channel);
        }
    }

    /** A client's request, over all of its tries. */
    final class Call {
        private final LoadPlan.Kind kind;
        private final long dueNs;
        private final long endNs;
        private Front.Entry proxy;
        private String id;
        private String key;
        private int tries;
        private long sentNs;

        /** One that is sent anew as its connection closed unread keeps its id. */
        private boolean resent;

        private ClientChannel channel;
        private boolean ended;

        Call(LoadPlan.Kind kind, long dueNs) {
            this.kind = kind;
            this.dueNs = dueNs;
            this.endNs = beganNs + dueNs + TimeUnit.MICROSECONDS.toNanos(kind.deadlineUs());
            loop.schedule(this::timeUp, endNs + GRACE_NS - System.nanoTime(), TimeUnit.NANOSECONDS);
        }

        LoadPlan.Kind kind() {
            return kind;
        }

        String id() {
            return id;
        }

        /** The same over all of its tries. */
        String key() {
            return key;
        }

        long leftUs() {
            return Math.max(1, TimeUnit.NANOSECONDS.toMicros(endNs - System.nanoTime()));
        }

        void attempt(Front.Entry to) {
            if (to == null || ended) {
                end(Outcome.CUT); // no proxy is there at all
                return;
            }
            ClientChannel kept = takeIdle(to);
            if (kept == null && openChannels >= MOST_OPEN) {
                waiting.add(this);
            } else {
                attemptOn(to, kept);
            }
        }

        private void attemptOn(Front.Entry to, ClientChannel on) {
            if (ended) {
                if (on != null) {
                    keep(to, on);
                }
                return;
            }
            tries++;
            id = idPrefix + Long.toHexString(sequence++);
            key = key == null ? id : key;
            resent = false;
            send(to, on);
        }

        private void send(Front.Entry to, ClientChannel kept) {
            proxy = to;
            sentNs = System.nanoTime();
            channel = kept == null ? new ClientChannel(Sender.this, to) : kept;
            channel.send(this);
        }

        /** An answer has come whole. */
        void answered(int status, boolean bodyIsRight) {
            if (status == 200) {
                end(
                        !bodyIsRight
                                ? Outcome.SPOILT
                                : System.nanoTime() <= endNs ? Outcome.SERVED : Outcome.LATE);
            } else if (status == 429 || status == 503) {
                again(Outcome.REFUSED, true);
            } else {
                again(Outcome.FAILED, kind.effect() != LoadPlan.Effect.UNSAFE);
            }
        }

        /**
         * Its connection ended without an answer.
         *
         * @param connected whether it had come up
         * @param reused whether it had served before, so that its end may have crossed this request
         */
        void cutOff(boolean connected, boolean reused) {
            if (proxy.hurtSince(sentNs)) {
                again(Outcome.CUT, !connected || kind.effect() != LoadPlan.Effect.UNSAFE);
            } else if (reused && !resent) {
                resent = true;
                send(proxy, null);
            } else {
                again(connected ? Outcome.LOST : Outcome.CUT, !connected);
            }
        }

        /**
         * Tries once more where that is allowed, harmless and in time; else this is how it ends.
         */
        private void again(Outcome outcome, boolean harmless) {
            Front.Entry other = front.next(turn++, proxy);
            if (harmless
                    && outcome != Outcome.LOST
                    && tries <= plan.retries()
                    && System.nanoTime() < endNs
                    && other != null) {
                tally.retried();
                attempt(other);
            } else {
                end(outcome);
            }
        }

        private void timeUp() {
            if (!ended) {
                Outcome outcome =
                        proxy == null || proxy.hurtSince(sentNs) ? Outcome.CUT : Outcome.LOST;
                if (channel != null) {
                    channel.abandon();
                }
                end(outcome);
            }
        }

        private void end(Outcome outcome) {
            if (!ended) {
                ended = true;
                open--;
                tally.ended(
                        TimeUnit.NANOSECONDS.toMillis(dueNs),
                        outcome,
                        TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - beganNs - dueNs));
                heard.accept(outcome);
                endIfOver();
            }
        }
    }
}
