package passhatch.proxy.base;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;

/**
 * Distinguishes failures to open a connection that are caused by this machine from those caused by
 * the peer.
 */
public final class LocalFailure {

    private LocalFailure() {}

    /**
     * Returns whether a connection failed for lack of local descriptors, ports, buffers or a route.
     * The JDK has separate exception classes for failures caused by the peer, except for a reset: a
     * reset can be recognized only by the message of the exception.
     */
    public static boolean isLocal(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException || cause instanceof NoRouteToHostException) {
                return false;
            }
            if (cause instanceof SocketException) {
                return !String.valueOf(cause.getMessage()).contains("reset");
            }
        }
        return false;
    }
}
