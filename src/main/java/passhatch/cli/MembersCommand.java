package passhatch.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The command {@code members}: shows the members of the fleet that a running agent knows. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description = "Shows the members of the fleet as an agent sees them.")
final class MembersCommand implements Callable<Integer> {

    private static final String ROW_FORMAT = "%-24s %-8s %-20s %-10s %-16s %10s  %s%n";

    @Spec private CommandSpec spec;
    @Mixin private AgentCall agent;

    @Override
    public Integer call() throws IOException {
        agent.print("members", spec.commandLine().getOut(), MembersCommand::printTable);
        return 0;
    }

    private static void printTable(Map<String, Object> reply, PrintWriter out) {
        out.printf(
                ROW_FORMAT,
                "MEMBER",
                "STATUS",
                "INCARNATION",
                "VERSION",
                "ROLES",
                "SINCE",
                "ADDRESS");
        for (Object each : (List<?>) reply.get("members")) {
            Map<?, ?> member = (Map<?, ?>) each;
            out.printf(
                    ROW_FORMAT,
                    member.get("name"),
                    member.get("status"),
                    member.get("incarnation"),
                    member.get("version"),
                    member.get("roles"),
                    formatDuration((Number) member.get("for_ms")),
                    member.get("address"));
        }
        boolean superseded = Boolean.TRUE.equals(reply.get("given_way"));
        out.printf(
                "%nself %s%s, local health %s (0 is best, 8 is worst), stalled %s times%n",
                reply.get("self"),
                superseded ? " (superseded by a newer process of this name)" : "",
                reply.get("local_health"),
                reply.get("held_up"));
        out.printf(
                "datagrams: %s in, %s out (%s bytes), dropped %s%n",
                reply.get("received"),
                reply.get("sent"),
                reply.get("sent_bytes"),
                reply.get("dropped"));
    }

    private static String formatDuration(Number durationMs) {
        Duration duration = Duration.ofMillis(durationMs.longValue());
        return duration.toHours() > 0
                ? duration.toHours() + "h" + duration.toMinutesPart() + "m"
                : duration.toMinutes() > 0
                        ? duration.toMinutes() + "m" + duration.toSecondsPart() + "s"
                        : duration.toSeconds() + "s";
    }
}
