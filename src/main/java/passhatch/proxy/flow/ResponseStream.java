package passhatch.proxy.flow;

import io.netty.channel.Channel;

/**
 * A 200 response that is forwarded as it arrives, as it is too long to be buffered. Nothing is read
 * from it before {@link #sendTo}.
 */
public interface ResponseStream {

    /** Returns its length in bytes, or -1 if only its end shows the length. */
    long length();

    /** Forwards the body to a client; the head must have been written before. */
    void sendTo(Channel client, Relay.Listener listener);
}
