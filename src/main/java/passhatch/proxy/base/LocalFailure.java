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
     * Whether a connection failed for lack of local descriptors, ports, buffers or a route. For
     * failures caused by the peer the JDK has classes of their own, except for a reset.
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
