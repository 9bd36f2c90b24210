package passhatch.proxy.client;

import passhatch.proxy.flow.Relay;
import passhatch.proxy.flow.ResponseStream;

/** Handles the requests of clients. Each request gets exactly one final response. */
public interface RequestHandler {

    /** Delivers the final response to a request. */
    interface Responder {
        void respond(ProxyResponse response);

        /**
         * Makes the response announce that the connection closes, if much of the request's body has
         * not been received: the next request on the connection would wait behind it.
         */
        void closeIfBodyIsMissing();

        /**
         * Returns how long the last byte of the request may have waited unread, in microseconds,
         * while the request's body has not been received completely; 0 if the client is known to be
         * sending still.
         */
        long unreadUs();

        /**
         * Returns whether the client still waits for the response. Reads what the client has sent,
         * as its close can be seen only behind that.
         */
        ClientPresence clientPresence();

        /**
         * Streams a response to the client. The listener is called once, when the whole response
         * has been written or when the transfer has failed.
         */
        void stream(ResponseStream response, Relay.Listener listener);

        /**
         * Must be called when the response that was passed to {@link #stream} cannot be completed.
         * Aborts the response if its head has been sent to the client, and sends a 502 response
         * otherwise.
         */
        void streamFailed();
    }

    /** Returns whether clients should send requests to this proxy. */
    boolean ready();

    /** Whether a request is accepted, and if it is not, why. */
    enum Acceptance {
        ACCEPTED,

        /** A request with the same id is still being processed. */
        ID_IN_USE,

        /** A request with the same id may have run before, and must not run twice. */
        MAY_HAVE_RUN
    }

    /**
     * Accepts a request whose body is complete or is too long to be buffered, unless its id has
     * been used before.
     *
     * @param unreadUs how long the request's last bytes may have waited unread, in microseconds
     */
    Acceptance accept(ProxyRequest request, long unreadUs, Responder responder);

    /**
     * Called instead of {@link #accept} if there is no memory for a request's body. Returns the
     * response, which counts as the end of the request.
     */
    ProxyResponse refuseUnadmitted(ProxyRequest request);

    /**
     * Called when the body of a request that was accepted earlier has been received completely. The
     * request's timeout runs from the arrival of its last byte.
     *
     * @param unreadUs how long the body's last bytes may have waited unread, in microseconds
     * @param responder the one with which the request was accepted
     */
    void bodyCompleted(String id, long unreadUs, Responder responder);

    /**
     * Called when the client has closed its connection or sent an invalid body, so that its request
     * no longer needs a response. Another request may have the same id by then.
     *
     * @param responder the one with which the request was accepted
     */
    void clientGone(String id, Responder responder);
}
