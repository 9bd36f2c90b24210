package passhatch.proxy;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import passhatch.Balancer.Outcome;
import passhatch.proxy.backend.BackendPool;
import passhatch.proxy.client.ProxyRequest;
import passhatch.proxy.client.RequestHandler.Responder;

/** The state of a client's request, from its arrival to the end of its last attempt. */
final class Exchange {
    final ProxyRequest request;
    final Responder responder;
    final List<Attempt> attempts = new ArrayList<>(2);

    /**
     * Time at which the response is due; {@code Long.MAX_VALUE} until the whole request has been
     * received.
     */
    long deadlineUs = Long.MAX_VALUE;

    /**
     * The timer that ends the request if the decision module does not, or that checks the upload
     * while the body is being received; null if none runs.
     */
    Future<?> fallbackTimer;

    boolean uploading;

    /** Whether an attempt has claimed the id of this request, which must not run twice. */
    boolean idClaimed;

    /** Whether the final response has been chosen. */
    boolean responseChosen;

    /** Whether the final response has been sent, or the client has left. */
    boolean completed;

    Exchange(ProxyRequest request, Responder responder) {
        this.request = request;
        this.responder = responder;
    }

    void cancelFallbackTimer() {
        if (fallbackTimer != null) {
            fallbackTimer.cancel(false);
            fallbackTimer = null;
        }
    }

    /** Returns whether the whole request was written to a backend that may have run it. */
    boolean writtenAndMayHaveRun() {
        return attempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    boolean mayHaveRun() {
        return attempts.stream()
                .anyMatch(attempt -> attempt.outcome == null || !attempt.outcome.provesNotRun);
    }

    /**
     * One attempt to send the request to a backend. {@code handle} is null if the request was never
     * sent.
     */
    static final class Attempt {
        final int number;
        final String server;

        /**
         * Time at which the request was sent; for a streamed body, the time at which the body had
         * been written completely.
         */
        long sentAtUs;

        /** Time at which the whole request had been written; 0 before that. */
        long writtenAtUs;

        /** Whether the response is forwarded to the client as it arrives. */
        boolean streaming;

        BackendPool.Handle handle;
        Outcome outcome;

        Attempt(int number, String server, long sentAtUs) {
            this.number = number;
            this.server = server;
            this.sentAtUs = sentAtUs;
        }

        /**
         * Returns whether the backend may have run the request: the request was written completely,
         * and the outcome does not prove that the backend never ran it.
         */
        boolean mayHaveRun() {
            return writtenAtUs > 0 && (outcome == null || !outcome.provesNotRun);
        }
    }
}
