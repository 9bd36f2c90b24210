package passhatch.proxy;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import passhatch.Balancer.Outcome;
import passhatch.proxy.backend.BackendPool;
import passhatch.proxy.client.ProxyRequest;
import passhatch.proxy.client.RequestHandler.Responder;

/** A request from its arrival to the end of its last attempt. */
final class Exchange {
    final ProxyRequest request;
    final Responder responder;
    final List<Attempt> attempts = new ArrayList<>(2);

    /** When it must be answered; not known before all of it has come. */
    long deadlineUs = Long.MAX_VALUE;

    Future<?> fallbackTimer;
    boolean uploading;

    /** Its final answer is settled. */
    boolean responseChosen;

    /** And given, or its client has left. */
    boolean completed;

    Exchange(ProxyRequest request, Responder responder) {
        this.request = request;
        this.responder = responder;
    }

    boolean mayHaveRun() {
        return attempts.stream()
                .anyMatch(attempt -> attempt.outcome == null || !attempt.outcome.provesNotRun);
    }

    /** One attempt; its handle is null where it was never sent. */
    static final class Attempt {
        final int number;
        final String server;

        /** When it was sent; where its body went out as it came, when that had all gone. */
        long sentAtUs;

        /** When all of it had been written; 0 before. */
        long writtenAtUs;

        /** Its answer is passed on as it comes. */
        boolean streaming;

        BackendPool.Handle handle;
        Outcome outcome;

        Attempt(int number, String server, long sentAtUs) {
            this.number = number;
            this.server = server;
            this.sentAtUs = sentAtUs;
        }

        /** Whether it was written whole, and nothing that came back proves that it did not run. */
        boolean mayHaveRun() {
            return writtenAtUs > 0 && (outcome == null || !outcome.provesNotRun);
        }
    }
}
