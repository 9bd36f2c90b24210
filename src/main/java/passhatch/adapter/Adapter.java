package passhatch.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/**
 * Runs the balancers of the proxies that a simulator simulates. It reads the events of these
 * proxies and writes the balancers' actions in batches, one JSON object per line.
 */
public final class Adapter {

    private Adapter() {}

    /**
     * Handles batches until the input ends.
     *
     * @return the exit status: 0 at the end of the input; 1 if the input is invalid or if reading
     *     or writing fails, in which case one line on {@code err} says why
     */
    public static int run(InputStream in, OutputStream out, PrintStream err) {
        try {
            new Wire(in, out).serve();
            return 0;
        } catch (WireException e) {
            err.println("passhatch: " + e.getMessage());
        } catch (IOException e) {
            err.println("passhatch: input or output failed: " + e.getMessage());
        }
        return 1;
    }
}
