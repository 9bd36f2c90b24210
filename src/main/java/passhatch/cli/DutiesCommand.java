package passhatch.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * The command {@code duties}: shows the duties of a running agent, makes the agent give up a duty,
 * or lets it vote for the first time.
 */
@Command(
        name = "duties",
        mixinStandardHelpOptions = true,
        description =
                "Shows the duties that an agent holds, and those that it has granted as a voter"
                        + " (docs/duties.md).")
final class DutiesCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;
    @Mixin private AgentCall agent;

    @Option(
            names = "--give-up",
            paramLabel = "DUTY",
            description = "Makes the agent give up this duty if it holds it.")
    private String dutyToGiveUp;

    @Option(
            names = "--to",
            paramLabel = "NAME",
            description = "The member that should hold the duty next.")
    private String nextHolder;

    @Option(
            names = "--found",
            description =
                    "To be run once at each voter when the first voters are set up: lets "
                            + "it vote although its disk holds no earlier votes.")
    private boolean initialize;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        if (initialize) {
            agent.ask("found", "done");
            out.println("it votes from now on");
        } else if (dutyToGiveUp != null) {
            agent.ask(
                    "give-up " + dutyToGiveUp + (nextHolder == null ? "" : " " + nextHolder),
                    "done");
            out.println("given up");
        } else {
            agent.print("duties", out, DutiesCommand::printTable);
        }
        out.flush();
        return 0;
    }

    private static void printTable(Map<String, Object> reply, PrintWriter out) {
        out.printf("%-16s %-10s %10s %10s  %s%n", "DUTY", "AS", "TERM", "LEFT", "HOLDER");
        for (Object each : (List<?>) reply.get("candidate")) {
            Map<?, ?> duty = (Map<?, ?>) each;
            boolean holds = ((Number) duty.get("left_ms")).longValue() > 0;
            out.printf(
                    "%-16s %-10s %10s %8sms  %s%n",
                    duty.get("duty"),
                    holds ? "holder" : "candidate",
                    duty.get("term"),
                    duty.get("left_ms"),
                    holds ? reply.get("self") : "");
        }
        for (Object each : (List<?>) reply.get("promised")) {
            Map<?, ?> duty = (Map<?, ?>) each;
            out.printf(
                    "%-16s %-10s %10s %8sms  %s%n",
                    duty.get("duty"),
                    "voter",
                    duty.get("term"),
                    duty.get("bound_ms"),
                    duty.get("holder"));
        }
        String vote =
                !Boolean.TRUE.equals(reply.get("voter"))
                        ? "not a voter"
                        : Boolean.TRUE.equals(reply.get("votes"))
                                ? "a voter"
                                : "a voter that does not vote, as its disk holds no earlier votes";
        out.printf(
                "%nself %s, %s, voters %s of epoch %s%n",
                reply.get("self"), vote, reply.get("voters"), reply.get("epoch"));
    }
}
