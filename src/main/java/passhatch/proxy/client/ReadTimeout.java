package passhatch.proxy.client;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import passhatch.proxy.base.Clock;

/**
 * Limits the time in which a client must send a request. The timer runs from the connect, or from
 * the start of a request, until the request has been received completely. While the proxy itself
 * does not read the body, the limit for the body moves on.
 */
final class ReadTimeout {

    /**
     * Time in microseconds within which the head of a request must be received completely. It
     * counts from the connect for the first request, and from the start of the request for later
     * ones. The connection is closed when the time is over. Slow clients take up to 2 s, and a
     * connection without a complete head must be closed within 3 s.
     */
    private static final long HEAD_TIMEOUT_US = 2_500_000;

    /**
     * Time in microseconds for which a client may pause while it sends a request body, in addition
     * to the time that the received bytes take at {@link #MIN_BODY_BYTES_PER_US}.
     */
    private static final long MAX_BODY_PAUSE_US = 1_500_000;

    /**
     * Time in microseconds after the last byte of a body, however much was received before. A
     * client that stops in the middle of a request must be told within 3 s.
     */
    private static final long MAX_BODY_SILENCE_US = 2_500_000;

    /**
     * Minimum rate of a request body, in bytes per microsecond. It is half of the 64 kB a second
     * that the slowest clients send, because these clients send in bursts.
     */
    private static final double MIN_BODY_BYTES_PER_US = 0.032;

    private final EventLoop loop;
    private final Clock clock;
    private final Runnable onTimeout;

    /** The running timer, or null. */
    private Future<?> timer;

    /** Time in microseconds at which the timer was first started for the current request. */
    private long startedUs;

    /** True from the head of a request until its body has been received completely. */
    private boolean receivingBody;

    /** True while the body is not read because its destination is full. */
    private boolean bodyPaused;

    /** Time in microseconds at which reading of the current body started or last resumed. */
    private long readingBodySinceUs;

    /** Time in microseconds at which the last bytes of the current body were received. */
    private long lastBodyBytesUs;

    /** Number of bytes of the body that were received since {@link #readingBodySinceUs}. */
    private long receivedBodyBytes;

    /** Creates a timeout that does not run; {@code onTimeout} is called when it expires. */
    ReadTimeout(EventLoop loop, Clock clock, Runnable onTimeout) {
        this.loop = loop;
        this.clock = clock;
        this.onTimeout = onTimeout;
    }

    /** Starts the timer unless it runs already. */
    void start() {
        if (timer == null) {
            startedUs = clock.nowUs();
            schedule(HEAD_TIMEOUT_US);
        }
    }

    /** Stops the timer. */
    void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    /** Called when the head of a request has been received; its body may follow. */
    void onHeadReceived() {
        receivingBody = true;
        restartBody();
        start();
    }

    /** Called when a part of the body has been received. */
    void onBodyBytes(int count) {
        receivedBodyBytes += count;
        lastBodyBytesUs = clock.nowUs();
    }

    /** Called when a request has been received completely. */
    void onRequestReceived() {
        abandonBody();
        bodyPaused = false;
        cancel();
    }

    /** Called when the rest of the body is not awaited any more. */
    void abandonBody() {
        receivingBody = false;
    }

    /** Sets whether the proxy reads the body at present. */
    void setBodyPaused(boolean paused) {
        if (bodyPaused && !paused) {
            restartBody();
        }
        bodyPaused = paused;
    }

    boolean bodyPaused() {
        return bodyPaused;
    }

    private void restartBody() {
        readingBodySinceUs = clock.nowUs();
        lastBodyBytesUs = readingBodySinceUs;
        receivedBodyBytes = 0;
    }

    private void schedule(long delayUs) {
        timer = loop.schedule(this::onTimer, delayUs, TimeUnit.MICROSECONDS);
    }

    private void onTimer() {
        long leftUs = deadlineUs() - clock.nowUs();
        if (leftUs <= 0) {
            onTimeout.run();
        } else {
            schedule(leftUs);
        }
    }

    /**
     * Returns the time in microseconds by which the head of the next request, or the rest of the
     * request that is being received, must have arrived.
     */
    private long deadlineUs() {
        long headUs = startedUs + HEAD_TIMEOUT_US;
        if (!receivingBody) {
            return headUs;
        }
        if (bodyPaused) {
            return Math.max(headUs, clock.nowUs() + MAX_BODY_PAUSE_US);
        }
        long slowestUs =
                readingBodySinceUs
                        + MAX_BODY_PAUSE_US
                        + (long) (receivedBodyBytes / MIN_BODY_BYTES_PER_US);
        return Math.max(headUs, Math.min(slowestUs, lastBodyBytesUs + MAX_BODY_SILENCE_US));
    }
}
