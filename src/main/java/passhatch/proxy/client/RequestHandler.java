package passhatch.proxy.client;

import passhatch.proxy.flow.Relay;
import passhatch.proxy.flow.ResponseStream;

/** Handles the requests of clients. Each request gets exactly one final response. */
public interface RequestHandler {

    /** Delivers the final response to a request. */
    interface Responder {
        void respond(ProxyResponse response);

        /** Streams a response; the listener is notified once of how that ended. */
        void stream(ResponseStream response, Relay.Listener listener);

        /** Aborts the streamed response, which will not be complete. */
        void streamFailed();
    }

    /** Returns whether clients should send requests to this proxy. */
    boolean ready();

    /**
     * Accepts a request whose body is complete, or too long to be buffered. Returns false if a
     * request with the same id is still being processed.
     *
     * @param unreadUs how long its last bytes may have been waiting unread, in microseconds
     */
    boolean accept(ProxyRequest request, long unreadUs, Responder responder);

    /**
     * Called when the body is complete of a request that was accepted before that: its time runs
     * from now on.
     */
    void bodyCompleted(String id, long unreadUs);

    /**
     * Called when the client has closed its connection or sent an invalid body: no response is
     * needed any more.
     */
    void clientGone(String id);
}
