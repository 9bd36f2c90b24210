package passhatch.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Option;

/**
 * Sends the calls of the subcommands of {@code changes}, and contains the option that these
 * subcommands share. A call is tried on the given agents one after the other.
 */
final class ChangesCall {

    private static final String NOT_LEADER = "error not the leader";
    private static final String ACCEPTED = "accepted ";
    private static final String REFUSED = "error refused: ";
    private static final String OUTCOME_UNKNOWN = "error outcome not known";
    private static final long COMMIT_TIMEOUT_MS = 3_000;
    private static final long STATUS_POLL_INTERVAL_MS = 20;

    @Option(
            names = "--control",
            required = true,
            paramLabel = "ADDRESS",
            description =
                    "Control address of an agent, like 127.0.0.1:9911; several are tried in turn.")
    private List<String> controls;

    /**
     * Sends a call to the agents one after the other, and returns the first reply that is not an
     * error.
     */
    String ask(String call) throws IOException {
        checkAddresses();
        IOException lastFailure = null;
        for (String control : controls) {
            try (Socket socket = AgentCall.connect(AgentCall.parseAddress(control))) {
                return requireSuccess(control, AgentCall.exchange(socket, call));
            } catch (IOException failed) {
                lastFailure = failed;
            }
        }
        throw lastFailure;
    }

    /**
     * Checks the addresses of all agents. Must run before the first call, so that a malformed
     * address is reported even if an earlier agent would answer the call.
     */
    private void checkAddresses() {
        controls.forEach(AgentCall::parseAddress);
    }

    private static String requireSuccess(String control, String reply) throws IOException {
        if (reply.isBlank() || reply.startsWith("error")) {
            throw new IOException(control + ": " + (reply.isBlank() ? "no reply" : reply.strip()));
        }
        return reply.strip();
    }

    /**
     * Submits a change to the leader and waits until it is committed.
     *
     * @return the version of the change
     * @throws IOException if the change is refused, if none of the agents accepts it as the leader,
     *     or if the outcome of the change is not known
     */
    long submit(String call) throws IOException, InterruptedException {
        checkAddresses();
        StringBuilder failures = new StringBuilder();
        for (String control : controls) {
            InetSocketAddress address = AgentCall.parseAddress(control);
            String reply;
            try (Socket socket = AgentCall.connect(address)) {
                reply = sendChange(socket, call);
            } catch (OutcomeUnknownException unknown) {
                throw unknown;
            } catch (IOException failed) {
                reply = failed.getMessage();
            }
            if (reply.startsWith(ACCEPTED)) {
                String[] fields = reply.split(" ");
                return awaitCommitted(address, fields[1], fields[2]);
            }
            if (reply.startsWith(REFUSED)) {
                throw new IOException(reply.substring("error ".length()));
            }
            failures.append(failures.isEmpty() ? "" : "; ").append(control).append(": ");
            failures.append(reply.startsWith(NOT_LEADER) ? "not the leader" : reply);
        }
        throw new IOException("no agent accepts the change: " + failures);
    }

    /**
     * Sends the change and returns the agent's reply. If no reply arrives, the change may have been
     * made all the same, so its outcome is unknown.
     */
    private static String sendChange(Socket socket, String call) throws OutcomeUnknownException {
        try {
            String reply = AgentCall.exchange(socket, call).strip();
            if (reply.isEmpty() || reply.startsWith(OUTCOME_UNKNOWN)) {
                throw new OutcomeUnknownException(reply.isEmpty() ? "no reply" : reply);
            }
            return reply;
        } catch (OutcomeUnknownException unknown) {
            throw unknown;
        } catch (IOException failed) {
            throw new OutcomeUnknownException(failed.getMessage());
        }
    }

    private static long awaitCommitted(InetSocketAddress address, String version, String term)
            throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(COMMIT_TIMEOUT_MS);
        do {
            String status = askStatus(address, version, term);
            if (status.equals("committed")) {
                return Long.parseLong(version);
            }
            if (!status.equals("pending")) {
                throw new OutcomeUnknownException("the lease was lost: " + status);
            }
            Thread.sleep(STATUS_POLL_INTERVAL_MS);
        } while (System.nanoTime() < deadlineNs);
        throw new OutcomeUnknownException("not committed in " + COMMIT_TIMEOUT_MS + " ms");
    }

    private static String askStatus(InetSocketAddress address, String version, String term)
            throws OutcomeUnknownException {
        try (Socket socket = AgentCall.connect(address)) {
            return AgentCall.exchange(socket, "change-status " + version + " " + term).strip();
        } catch (IOException failed) {
            throw new OutcomeUnknownException(failed.getMessage());
        }
    }

    /** Thrown if a change was submitted and it is not known whether the change was made. */
    private static final class OutcomeUnknownException extends IOException {
        private static final long serialVersionUID = 1;

        OutcomeUnknownException(String reason) {
            super("the outcome is not known, read the value before trying again: " + reason);
        }
    }
}
