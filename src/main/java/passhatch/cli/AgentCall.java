package passhatch.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BiConsumer;
import passhatch.agent.config.BadInput;
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
        InetSocketAddress address;
        try {
            address = Addresses.parse(control);
        } catch (IllegalArgumentException bad) {
            throw new BadInput("--control: " + bad.getMessage());
        }
        String answer;
        try (Socket socket = new Socket()) {
            socket.connect(address, PATIENCE_MS);
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException failed) {
            throw new IOException(control + ": " + failed.getMessage(), failed);
        }
        if (!answer.startsWith(begins)) {
            throw new IOException(
                    control + ": " + (answer.isBlank() ? "no answer" : answer.strip()));
        }
        return answer;
    }
}
