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
import passhatch.fleet.Drop;
import passhatch.fleet.MemberInfo;
import passhatch.fleet.Membership;
import passhatch.fleet.Status;

/** What operators are told of the members: as JSON, and as figures in the form of {@code vars}. */
final class MembersText {

    private MembersText() {}

    static String label(Status status) {
        return status.name().toLowerCase(Locale.ROOT);
    }

    /** One line. */
    static String json(FleetNode node) {
        Membership membership = node.membership();
        List<InetSocketAddress> addresses = node.members();
        List<Map<String, Object>> members = new ArrayList<>();
        for (MemberInfo member : membership.members()) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("name", member.name());
            one.put("status", label(member.status()));
            one.put("incarnation", member.incarnation().toString());
            one.put("version", member.version());
            one.put("roles", member.roles());
            one.put("for_ms", membership.ageUs(member) / 1_000);
            one.put("address", member.address() < 0 ? "" : text(addresses.get(member.address())));
            members.add(one);
        }
        Membership.Figures figures = membership.figures();
        Map<String, Object> whole = new LinkedHashMap<>();
        whole.put("self", membership.name());
        whole.put("incarnation", membership.incarnation().toString());
        whole.put("given_way", membership.givenWay());
        whole.put("local_health", figures.localHealth());
        whole.put("digest", Integer.toHexString(membership.digest()));
        whole.put("held_up", figures.heldUps());
        whole.put("received", figures.received());
        whole.put("sent", figures.sent());
        whole.put("sent_bytes", figures.sentBytes());
        Map<String, Object> dropped = new LinkedHashMap<>();
        figures.dropped().forEach((why, n) -> dropped.put(why.label(), n));
        whole.put("dropped", dropped);
        whole.put("members", members);
        try {
            return JSON.std.asString(whole) + "\n";
        } catch (IOException cannotBe) {
            throw new IllegalStateException(cannotBe);
        }
    }

    /** An address as it is written. */
    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** A figure a line. */
    static String figures(FleetNode node) {
        Membership membership = node.membership();
        Membership.Figures figures = membership.figures();
        StringBuilder text = new StringBuilder();
        List<MemberInfo> members = membership.members();
        for (Status status : Status.values()) {
            line(
                    text,
                    "members{status=\"" + label(status) + "\"}",
                    members.stream().filter(m -> m.status() == status).count());
        }
        line(text, "epoch", membership.incarnation().epoch());
        line(text, "local_health", figures.localHealth());
        line(text, "held_up", figures.heldUps());
        line(text, "datagrams{way=\"in\"}", figures.received());
        line(text, "datagrams{way=\"out\"}", figures.sent());
        line(text, "sent_bytes", figures.sentBytes());
        Arrays.stream(Drop.values())
                .forEach(
                        why ->
                                line(
                                        text,
                                        "dropped{reason=\"" + why.label() + "\"}",
                                        figures.dropped().getOrDefault(why, 0L)));
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append("fleet_").append(name).append(' ').append(value).append('\n');
    }
}
