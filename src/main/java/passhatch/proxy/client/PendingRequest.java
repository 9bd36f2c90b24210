package passhatch.proxy.client;

import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import passhatch.proxy.flow.Relay;
import passhatch.proxy.flow.ResponseStream;

/**
 * A request on this connection, from the arrival of its head until its response has been written.
 */
final class PendingRequest implements RequestHandler.Responder {
    private final ClientConnection connection;
    private final HttpVersion version;
    boolean keepAlive;

    /** The parsed request; null if the request is not forwarded to a backend. */
    ProxyRequest request;

    /** When the request arrived; null if the request is not forwarded to a backend. */
    RequestArrival arrival;

    boolean accepted;
    boolean wantsContinue;

    /** Refuses the request if its body is not admitted in time; null if it need not wait. */
    Future<?> admissionTimer;

    /** Whether the request was refused because its body was not admitted. */
    boolean notAdmitted;

    ProxyResponse response;
    ResponseStream stream;
    Relay.Listener streamListener;
    boolean streaming;
    boolean streamCompleted;

    PendingRequest(ClientConnection connection, HttpVersion version, boolean keepAlive) {
        this.connection = connection;
        this.version = version;
        this.keepAlive = keepAlive;
    }

    @Override
    public void respond(ProxyResponse newResponse) {
        response = newResponse;
        connection.writeResponses();
    }

    @Override
    public void closeIfBodyIsMissing() {
        keepAlive &= !arrival.muchBodyMissing();
    }

    @Override
    public long unreadUs() {
        return arrival.unforwardedWaitUs();
    }

    @Override
    public ClientPresence clientPresence() {
        return connection.clientPresence();
    }

    @Override
    public void stream(ResponseStream newStream, Relay.Listener listener) {
        stream = newStream;
        streamListener = listener;
        connection.writeResponses();
    }

    @Override
    public void streamFailed() {
        if (streaming) {
            connection.abortStream(this);
        } else {
            stream = null;
            respond(ProxyResponse.failed());
        }
    }

    /**
     * Returns whether the client can recognize the end of the response only by the close of the
     * connection. This is so if the length is unknown and the client does not use HTTP/1.1.
     */
    boolean endsWithClose() {
        return stream != null && stream.length() < 0 && !version.equals(HttpVersion.HTTP_1_1);
    }

    boolean hasResponse() {
        return response != null || stream != null;
    }

    void cancelAdmissionTimer() {
        if (admissionTimer != null) {
            admissionTimer.cancel(false);
            admissionTimer = null;
        }
    }

    /**
     * Abandons the request: notifies the {@link RequestHandler} if it has accepted the request, and
     * drops the request's body otherwise.
     */
    void abandon() {
        if (request != null) {
            connection.traceAbandoned(request.id());
        }
        cancelAdmissionTimer();
        if (accepted) {
            connection.requests().clientGone(request.id(), this);
        } else if (request != null) {
            request.body().drop();
        }
    }
}
