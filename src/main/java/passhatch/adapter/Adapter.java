package passhatch.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/**
 * Decides for a simulator's instances, whose events come and whose actions go as batches, one a
 * line.
 */
public final class Adapter {

    private Adapter() {}

    /**
     * Serves until the input ends.
     *
     * @return the exit status: 0 at the input's end, 1 where the input is not the wire's or fails,
     *     after one line on {@code err}
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
