package passhatch.proxy.client;

import passhatch.proxy.flow.Relay;
import passhatch.proxy.flow.ResponseStream;

/** Handles the requests of clients. Each request gets exactly one final response. */
public interface RequestHandler {

    /** Delivers the final response to a request. */
    interface Responder {
        void respond(ProxyResponse response);

        /**
         * Streams a response, and notifies the listener once whether the stream completed or
         * failed.
         */
        void stream(ResponseStream response, Relay.Listener listener);

        /**
         * Called when the response passed to {@link #stream} cannot be completed: aborts it if it
         * has started, and sends a 502 response otherwise.
         */
        void streamFailed();
    }

    /** Returns whether clients should send requests to this proxy. */
    boolean ready();

    /**
     * Accepts a request whose body is complete or is too long to be buffered. Returns false if a
     * request with the same id is still being processed.
     *
     * @param unreadUs how long the request's last bytes may have waited unread, in microseconds
     */
    boolean accept(ProxyRequest request, long unreadUs, Responder responder);

    /**
     * Called when the body of a request that was accepted earlier has become complete. The
     * request's timeout starts now.
     *
     * @param unreadUs how long the body's last bytes may have waited unread, in microseconds
     */
    void bodyCompleted(String id, long unreadUs);

    /**
     * Called when the client has closed its connection or sent an invalid body, so that its request
     * no longer needs a response.
     */
    void clientGone(String id);
}
