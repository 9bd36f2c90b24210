package passhatch.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Option;

/** What the commands on changes have in common: the agents that they ask, one after the other. */
final class ChangesCall {

    private static final String NOT_LEADER = "error not the leader";
    private static final String ACCEPTED = "accepted ";
    private static final String REFUSED = "error refused: ";
    private static final String UNKNOWN = "error outcome not known";
    private static final long OUTCOME_WITHIN_MS = 3_000;
    private static final long ASK_AGAIN_MS = 20;

    @Option(
            names = "--control",
            required = true,
            paramLabel = "ADDRESS",
            description =
                    "Where an agent can be asked, like 127.0.0.1:9911; several are tried in turn.")
    private List<String> controls;

    /** The answer of the first agent that gives one. */
    String ask(String call) throws IOException {
        checkAddresses();
        IOException last = null;
        for (String control : controls) {
            try (Socket socket = AgentCall.connect(AgentCall.address(control))) {
                return answered(control, AgentCall.exchange(socket, call));
            } catch (IOException failed) {
                last = failed;
            }
        }
        throw last;
    }

    /** All of them first, so that a bad one is told whether or not it would be tried. */
    private void checkAddresses() {
        controls.forEach(AgentCall::address);
    }

    private static String answered(String control, String answer) throws IOException {
        if (answer.isBlank() || answer.startsWith("error")) {
            throw new IOException(
                    control + ": " + (answer.isBlank() ? "no answer" : answer.strip()));
        }
        return answer.strip();
    }

    /**
     * Submits a change to the agent that leads and waits until it is committed.
     *
     * @return its version
     * @throws IOException where it is refused, nobody leads, or its outcome is not known
     */
    long submit(String call) throws IOException, InterruptedException {
        checkAddresses();
        StringBuilder tried = new StringBuilder();
        for (String control : controls) {
            InetSocketAddress address = AgentCall.address(control);
            String answer;
            try (Socket socket = AgentCall.connect(address)) {
                answer = submitted(socket, call);
            } catch (OutcomeUnknownException unknown) {
                throw unknown;
            } catch (IOException failed) {
                answer = failed.getMessage();
            }
            if (answer.startsWith(ACCEPTED)) {
                String[] words = answer.split(" ");
                return awaitCommitted(address, words[1], words[2]);
            }
            if (answer.startsWith(REFUSED)) {
                throw new IOException(answer.substring("error ".length()));
            }
            tried.append(tried.isEmpty() ? "" : "; ").append(control).append(": ");
            tried.append(answer.startsWith(NOT_LEADER) ? "not the leader" : answer);
        }
        throw new IOException("nobody takes the change: " + tried);
    }

    /** Once the call has been sent it may have been carried out, also where no answer comes. */
    private static String submitted(Socket socket, String call) throws OutcomeUnknownException {
        try {
            String answer = AgentCall.exchange(socket, call).strip();
            if (answer.isEmpty() || answer.startsWith(UNKNOWN)) {
                throw new OutcomeUnknownException(answer.isEmpty() ? "no answer" : answer);
            }
            return answer;
        } catch (OutcomeUnknownException unknown) {
            throw unknown;
        } catch (IOException failed) {
            throw new OutcomeUnknownException(failed.getMessage());
        }
    }

    private static long awaitCommitted(InetSocketAddress address, String version, String term)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OUTCOME_WITHIN_MS);
        do {
            String answer = status(address, version, term);
            if (answer.equals("committed")) {
                return Long.parseLong(version);
            }
            if (!answer.equals("pending")) {
                throw new OutcomeUnknownException("the lease was lost: " + answer);
            }
            Thread.sleep(ASK_AGAIN_MS);
        } while (System.nanoTime() < end);
        throw new OutcomeUnknownException("not committed in " + OUTCOME_WITHIN_MS + " ms");
    }

    private static String status(InetSocketAddress address, String version, String term)
            throws OutcomeUnknownException {
        try (Socket socket = AgentCall.connect(address)) {
            return AgentCall.exchange(socket, "change-status " + version + " " + term).strip();
        } catch (IOException failed) {
            throw new OutcomeUnknownException(failed.getMessage());
        }
    }

    /** A change was submitted, and whether it is made is not known. */
    private static final class OutcomeUnknownException extends IOException {
        private static final long serialVersionUID = 1;

        OutcomeUnknownException(String reason) {
            super("the outcome is not known, look at the value before trying again: " + reason);
        }
    }
}
