package passhatch.proxy;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import passhatch.Balancer;
import passhatch.ListLease;
import passhatch.proxy.base.Clock;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.base.StallDetector;

/**
 * Notifies the decision module of events, one after the other, and of stalls of the event loop. The
 * module must not be called from within one of its own actions, so events that an action causes are
 * queued until the module has returned.
 */
final class BalancerEvents {

    /**
     * Delay of each of the two timers that follow a stall. A timer with this delay fires only after
     * the current pass of the event loop.
     */
    private static final long POST_STALL_TIMER_DELAY_MS = 1;

    /**
     * An event that waits until the decision module is notified of it; {@code exchange} is null if
     * the event does not concern a request.
     */
    private record Event(Exchange exchange, Runnable notification) {}

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final StallDetector stallDetector;
    private final Balancer balancer;
    private final Consumer<Exchange> onError;
    private final ArrayDeque<Event> pending = new ArrayDeque<>();
    private boolean dispatching;

    /**
     * True from the detection of a stall of the event loop until the loop has polled all
     * connections again.
     */
    private boolean catchingUp;

    /**
     * Creates a queue without events.
     *
     * @param onError called with the request if the decision module throws an error at one of its
     *     events
     */
    BalancerEvents(
            EventLoop loop,
            Clock clock,
            EventLog log,
            StallDetector stallDetector,
            Balancer balancer,
            Consumer<Exchange> onError) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.stallDetector = stallDetector;
        this.balancer = balancer;
        this.onError = onError;
    }

    /** Notifies the decision module of an event that concerns no request. */
    void add(Runnable notification) {
        add(null, notification);
    }

    /**
     * Notifies the decision module of an event after all earlier events.
     *
     * @param exchange the request that the event concerns; null if it concerns none
     */
    void add(Exchange exchange, Runnable notification) {
        pending.add(new Event(exchange, notification));
        if (dispatching) {
            return;
        }
        reportStall();
        dispatching = true;
        for (Event event = pending.poll(); event != null; event = pending.poll()) {
            dispatch(event);
        }
        dispatching = false;
    }

    private void dispatch(Event event) {
        try {
            event.notification().run();
        } catch (RuntimeException | Error error) {
            // An error must not prevent the queued events and all later ones from being processed.
            log.bug("in the decision module", error);
            if (event.exchange() != null) {
                onError.accept(event.exchange());
            }
        }
    }

    /**
     * Reports a stall to the decision module, as messages from discovery may have arrived during
     * the stall and may still be unread at the next decision. Those messages have been read once
     * the event loop has polled all connections again. That is certain after two successive timers,
     * of which the first sets the second.
     */
    private void reportStall() {
        long nowUs = clock.nowUs();
        long unreadUs = stallDetector.unreadUs(nowUs);
        if (unreadUs <= ListLease.MAX_STALL_US || catchingUp) {
            return;
        }
        catchingUp = true;
        balancer.listUnread(nowUs - unreadUs);
        log.write("held up for " + TimeUnit.MICROSECONDS.toMillis(unreadUs) + " ms");
        loop.schedule(
                () ->
                        loop.schedule(
                                this::onCaughtUp, POST_STALL_TIMER_DELAY_MS, TimeUnit.MILLISECONDS),
                POST_STALL_TIMER_DELAY_MS,
                TimeUnit.MILLISECONDS);
    }

    private void onCaughtUp() {
        catchingUp = false;
        if (stallDetector.unreadUs(clock.nowUs()) <= ListLease.MAX_STALL_US) {
            add(() -> balancer.listRead(clock.nowUs()));
        } else {
            reportStall();
        }
    }
}
