package passhatch.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BiConsumer;
import passhatch.agent.config.InvalidInputException;
import passhatch.proxy.base.Addresses;
import picocli.CommandLine.Option;

/** What commands that ask a running agent have in common. */
final class AgentCall {

    private static final int TIMEOUT_MS = 5_000;

    @Option(
            names = "--control",
            required = true,
            paramLabel = "ADDRESS",
            description = "Where the agent can be asked, like 127.0.0.1:9911.")
    private String control;

    @Option(names = "--json", description = "As the agent answers, one line of JSON.")
    private boolean json;

    /** Writes the answer to a call, as it came or as a table. */
    void print(String call, PrintWriter out, BiConsumer<Map<String, Object>, PrintWriter> table)
            throws IOException {
        String reply = ask(call, "{");
        if (json) {
            out.print(reply);
        } else {
            table.accept(JSON.std.mapFrom(reply), out);
        }
        out.flush();
    }

    /** The answer to a call, which has to begin with this. */
    String ask(String call, String expectedPrefix) throws IOException {
        InetSocketAddress address = parseAddress(control);
        String reply;
        try (Socket socket = connect(address)) {
            reply = exchange(socket, call);
        } catch (IOException failed) {
            throw new IOException(control + ": " + failed.getMessage(), failed);
        }
        if (!reply.startsWith(expectedPrefix)) {
            throw new IOException(control + ": " + (reply.isBlank() ? "no answer" : reply.strip()));
        }
        return reply;
    }

    /** The address that an option gives. */
    static InetSocketAddress parseAddress(String control) {
        try {
            return Addresses.parse(control);
        } catch (IllegalArgumentException malformed) {
            throw new InvalidInputException("--control: " + malformed.getMessage());
        }
    }

    /** A connection to an agent, for one call. */
    static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            return socket;
        } catch (IOException failed) {
            socket.close();
            throw failed;
        }
    }

    /** Makes the call of a connection, and gives its answer. */
    static String exchange(Socket socket, String call) throws IOException {
        socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
}
