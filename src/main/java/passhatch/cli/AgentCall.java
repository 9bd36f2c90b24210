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

    private static final int PATIENCE_MS = 5_000;

    @Option(
            names = "--control",
            required = true,
            paramLabel = "ADDRESS",
            description = "Where the agent can be asked, like 127.0.0.1:9911.")
    private String control;

    @Option(names = "--json", description = "As the agent answers, one line of JSON.")
    private boolean json;

    /** Writes the answer to a call, as it came or as a table. */
    void show(String call, PrintWriter out, BiConsumer<Map<String, Object>, PrintWriter> table)
            throws IOException {
        String answer = ask(call, "{");
        if (json) {
            out.print(answer);
        } else {
            table.accept(JSON.std.mapFrom(answer), out);
        }
        out.flush();
    }

    /** The answer to a call, which has to begin with this. */
    String ask(String call, String begins) throws IOException {
        InetSocketAddress address = address(control);
        String answer;
        try (Socket socket = connect(address)) {
            answer = exchange(socket, call);
        } catch (IOException failed) {
            throw new IOException(control + ": " + failed.getMessage(), failed);
        }
        if (!answer.startsWith(begins)) {
            throw new IOException(
                    control + ": " + (answer.isBlank() ? "no answer" : answer.strip()));
        }
        return answer;
    }

    /** The address that an option gives. */
    static InetSocketAddress address(String control) {
        try {
            return Addresses.parse(control);
        } catch (IllegalArgumentException bad) {
            throw new InvalidInputException("--control: " + bad.getMessage());
        }
    }

    /** A connection to an agent, for one call. */
    static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(address, PATIENCE_MS);
            socket.setSoTimeout(PATIENCE_MS);
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
