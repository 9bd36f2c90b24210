package passhatch.proxy.client;

import passhatch.proxy.flow.Relay;
import passhatch.proxy.flow.ResponseStream;

/** Where the callers' side takes its requests: each gets exactly one final answer. */
public interface RequestHandler {

    /** Where the final answer of a request goes. */
    interface Responder {
        void respond(ProxyResponse response);

        /** Passes an answer on as it comes, and has told how that ended once. */
        void stream(ResponseStream response, Relay.Listener listener);

        /** What was begun to be passed on will not be whole. */
        void streamFailed();
    }

    /** Whether requests should come here at all. */
    boolean ready();

    /**
     * Takes a request whose body is whole, or is too long to be kept; false where one with its id
     * is still held.
     *
     * @param unreadUs how long its last bytes may have stood unread, in microseconds
     */
    boolean accept(ProxyRequest request, long unreadUs, Responder responder);

    /**
     * All of a request has come, of which only a part had when it was taken: its time runs from now
     * on.
     */
    void bodyCompleted(String id, long unreadUs);

    /** The client has closed its connection, or spoilt its request: no answer is owed any more. */
    void clientGone(String id);
}
