package passhatch.proxy.base;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Parses socket addresses. */
public final class Addresses {

    private Addresses() {}

    /** Parses an address such as 10.0.0.4:5000. Names are not resolved, as there is no DNS. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip =
                colon < 0
                        ? null
                        : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ip == null) {
            throw new IllegalArgumentException("'" + text + "' is not an address and a port");
        }
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
        } catch (IOException | IllegalArgumentException invalid) {
            throw new IllegalArgumentException(
                    "'" + text + "' is not an address and a port", invalid);
        }
    }
}
