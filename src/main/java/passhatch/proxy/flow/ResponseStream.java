package passhatch.proxy.flow;

import io.netty.channel.Channel;

/**
 * A 200 answer that goes on as it comes, as it is too long to be held. Nothing is read from it yet.
 */
public interface ResponseStream {

    /** Its length, or -1 where its end will show. */
    long length();

    /** Passes it on to a client, after the head. */
    void sendTo(Channel client, Relay.Listener listener);
}
