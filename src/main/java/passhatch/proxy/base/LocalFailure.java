package passhatch.proxy.base;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;

/** Tells failures of this machine to open a connection from those of the other side. */
public final class LocalFailure {

    private LocalFailure() {}

    /**
     * Whether a connection failed for lack of descriptors, ports, buffers or a route here: the JDK
     * has classes of their own for all that the other side brings about, but for a reset.
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
