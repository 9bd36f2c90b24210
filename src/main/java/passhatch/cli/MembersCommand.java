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

/** The command {@code members}: asks a running agent. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description = "Shows the members of the fleet as an agent sees them.")
final class MembersCommand implements Callable<Integer> {

    private static final String ROW = "%-24s %-8s %-20s %-10s %-16s %10s  %s%n";

    @Spec private CommandSpec spec;
    @Mixin private AgentCall agent;

    @Override
    public Integer call() throws IOException {
        agent.show("members", spec.commandLine().getOut(), MembersCommand::table);
        return 0;
    }

    private static void table(Map<String, Object> answer, PrintWriter out) {
        out.printf(ROW, "MEMBER", "STATUS", "INCARNATION", "VERSION", "ROLES", "SINCE", "ADDRESS");
        for (Object each : (List<?>) answer.get("members")) {
            Map<?, ?> member = (Map<?, ?>) each;
            out.printf(
                    ROW,
                    member.get("name"),
                    member.get("status"),
                    member.get("incarnation"),
                    member.get("version"),
                    member.get("roles"),
                    ago((Number) member.get("for_ms")),
                    member.get("address"));
        }
        boolean givenWay = Boolean.TRUE.equals(answer.get("given_way"));
        out.printf(
                "%nself %s%s, local health %s (0 is well, 8 is worst), held up %s times%n",
                answer.get("self"),
                givenWay ? " (gave way to a newer process of this name)" : "",
                answer.get("local_health"),
                answer.get("held_up"));
        out.printf(
                "datagrams: %s in, %s out (%s bytes), dropped %s%n",
                answer.get("received"),
                answer.get("sent"),
                answer.get("sent_bytes"),
                answer.get("dropped"));
    }

    private static String ago(Number ms) {
        Duration time = Duration.ofMillis(ms.longValue());
        return time.toHours() > 0
                ? time.toHours() + "h" + time.toMinutesPart() + "m"
                : time.toMinutes() > 0
                        ? time.toMinutes() + "m" + time.toSecondsPart() + "s"
                        : time.toSeconds() + "s";
    }
}
