package passhatch.proxy.flow;

import io.netty.channel.Channel;

/**
 * A response with status 200 that is too long to be buffered and is therefore forwarded as it
 * arrives. Its body is not read before {@link #sendTo} is called.
 */
public interface ResponseStream {

    /**
     * Returns the length of the body in bytes, or -1 if it is known only at the end of the body.
     */
    long length();

    /** Forwards the body to a client; the head must have been written before. */
    void sendTo(Channel client, Relay.Listener listener);
}
