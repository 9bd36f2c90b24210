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

/**
 * Sends calls to a running agent. Contains the options that all commands that query an agent share.
 */
final class AgentCall {

    private static final int TIMEOUT_MS = 5_000;

    @Option(
            names = "--control",
            required = true,
            paramLabel = "ADDRESS",
            description = "Control address of the agent, like 127.0.0.1:9911.")
    private String control;

    @Option(
            names = "--json",
            description = "Prints the agent's reply as received, one line of JSON.")
    private boolean json;

    /**
     * Sends a call to the agent and prints the reply. With {@code --json}, prints the reply as it
     * was received; otherwise prints it as a table.
     */
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

    /**
     * Sends a call to the agent and returns its reply.
     *
     * @throws IOException if there is no reply, or if the reply does not start with {@code
     *     expectedPrefix}
     */
    String ask(String call, String expectedPrefix) throws IOException {
        InetSocketAddress address = parseAddress(control);
        String reply;
        try (Socket socket = connect(address)) {
            reply = exchange(socket, call);
        } catch (IOException failed) {
            throw new IOException(control + ": " + failed.getMessage(), failed);
        }
        if (!reply.startsWith(expectedPrefix)) {
            throw new IOException(control + ": " + (reply.isBlank() ? "no reply" : reply.strip()));
        }
        return reply;
    }

    /** Parses the value of the option {@code --control}. */
    static InetSocketAddress parseAddress(String control) {
        try {
            return Addresses.parse(control);
        } catch (IllegalArgumentException malformed) {
            throw new InvalidInputException("--control: " + malformed.getMessage());
        }
    }

    /** Opens a connection to an agent for a single call. */
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

    /**
     * Sends the call and returns the reply, which is complete when the agent closes the connection.
     */
    static String exchange(Socket socket, String call) throws IOException {
        socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
}
