package passhatch.agent;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import passhatch.fleet.DropReason;
import passhatch.fleet.MemberInfo;
import passhatch.fleet.Membership;
import passhatch.fleet.Status;

/**
 * Formats the members of the fleet for operators, as JSON or as metrics for the call {@code vars}.
 */
final class MembersText {

    private MembersText() {}

    static String label(Status status) {
        return status.name().toLowerCase(Locale.ROOT);
    }

    /** Returns the members and the counters of a node as one line of JSON. */
    static String json(FleetNode node) {
        Membership membership = node.membership();
        List<InetSocketAddress> addresses = node.memberAddresses();
        List<Map<String, Object>> members = new ArrayList<>();
        for (MemberInfo member : membership.members()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("name", member.name());
            entry.put("status", label(member.status()));
            entry.put("incarnation", member.incarnation().toString());
            entry.put("version", member.version());
            entry.put("roles", member.roles());
            entry.put("for_ms", membership.statusAgeUs(member) / 1_000);
            entry.put(
                    "address",
                    member.addressIndex() < 0 ? "" : format(addresses.get(member.addressIndex())));
            members.add(entry);
        }
        Membership.Metrics metrics = membership.metrics();
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("self", membership.name());
        root.put("incarnation", membership.incarnation().toString());
        root.put("given_way", membership.superseded());
        root.put("local_health", metrics.localHealth());
        root.put("digest", Integer.toHexString(membership.digest()));
        root.put("held_up", metrics.stalls());
        root.put("received", metrics.received());
        root.put("sent", metrics.sent());
        root.put("sent_bytes", metrics.sentBytes());
        Map<String, Object> dropped = new LinkedHashMap<>();
        metrics.dropped().forEach((reason, count) -> dropped.put(reason.label(), count));
        root.put("dropped", dropped);
        root.put("members", members);
        try {
            return JSON.std.asString(root) + "\n";
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** Formats an address as an IP address and a port. */
    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the metrics of a node, one per line. */
    static String metrics(FleetNode node) {
        Membership membership = node.membership();
        Membership.Metrics metrics = membership.metrics();
        StringBuilder text = new StringBuilder();
        List<MemberInfo> members = membership.members();
        for (Status status : Status.values()) {
            appendLine(
                    text,
                    "members{status=\"" + label(status) + "\"}",
                    members.stream().filter(m -> m.status() == status).count());
        }
        appendLine(text, "epoch", membership.incarnation().epoch());
        appendLine(text, "local_health", metrics.localHealth());
        appendLine(text, "held_up", metrics.stalls());
        appendLine(text, "datagrams{way=\"in\"}", metrics.received());
        appendLine(text, "datagrams{way=\"out\"}", metrics.sent());
        appendLine(text, "sent_bytes", metrics.sentBytes());
        Arrays.stream(DropReason.values())
                .forEach(
                        reason ->
                                appendLine(
                                        text,
                                        "dropped{reason=\"" + reason.label() + "\"}",
                                        metrics.dropped().getOrDefault(reason, 0L)));
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append("fleet_").append(name).append(' ').append(value).append('\n');
    }
}
