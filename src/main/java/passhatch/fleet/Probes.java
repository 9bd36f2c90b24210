package passhatch.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Asks one member after the other, in an order drawn anew each round, whether it is there (SWIM
 * 4.3): itself, several times as datagrams get lost, and then through others. Several probes may
 * run at a time. Only an answer to the probe's own number counts, as other datagrams may be minutes
 * old.
 */
final class Probes {

    /**
     * Times as shares of a period: between two questions; until others are asked; until it is over.
     */
    private static final double AGAIN = 0.3;

    private static final double INDIRECT = 0.9;
    private static final double OVER = 2.4;

    /** Members that are asked to ask. */
    private static final int HELPERS = 4;

    /** Of all that hear of a suspect, so many see for themselves, on average. */
    private static final double CONFIRMING = 4;

    private static final int MOST_RUNNING = 64;
    private static final int MOST_RELAYS = 256;
    private static final int MOST_PASSED = 8;

    private static final class Probe {
        private final String name;
        private final int address;
        private final long startUs;
        private long nextUs;
        private boolean helpersAsked;
        private int helpers;
        private int refusals;

        Probe(String name, int address, long startUs) {
            this.name = name;
            this.address = address;
            this.startUs = startUs;
            this.nextUs = startUs;
        }
    }

    /** A question that is asked for somebody else. */
    private static final class Relay {
        private final int from;
        private final int number;
        private final String target;
        private final int address;
        private final long endUs;
        private long nextUs;

        Relay(int from, int number, Member target, long nowUs, long endUs) {
            this.from = from;
            this.number = number;
            this.target = target.name();
            this.address = target.address();
            this.nextUs = nowUs;
            this.endUs = endUs;
        }
    }

    private final Self self;
    private final View view;
    private final Outbox outbox;
    private final Beliefs beliefs;
    private final LocalHealth health;
    private final RandomGenerator random;
    private final long periodUs;
    private final Map<Integer, Probe> running = new HashMap<>();
    private final Map<Integer, Relay> relays = new HashMap<>();
    private ProbeOrder order;
    private int ownNumber;
    private int next;

    Probes(
            FleetSettings settings,
            Self self,
            View view,
            Outbox outbox,
            Beliefs beliefs,
            LocalHealth health,
            RandomGenerator random) {
        this.self = self;
        this.view = view;
        this.outbox = outbox;
        this.beliefs = beliefs;
        this.health = health;
        this.random = random;
        this.periodUs = settings.periodUs();
        this.ownNumber = settings.ownNumber();
        this.next = random.nextInt();
        this.order = new ProbeOrder(view.addresses(), random);
    }

    /** The list of addresses is another now. */
    void moved(int newOwnNumber) {
        ownNumber = newOwnNumber;
        order = new ProbeOrder(view.addresses(), random);
        running.clear();
        relays.clear();
    }

    /** Begins the next probe; one address at which nobody is thought to be is asked beside it. */
    void tick(long nowUs) {
        boolean absentAsked = false;
        for (int passed = 0; passed < MOST_PASSED; passed++) {
            int address = nextAddress();
            if (address < 0) {
                break;
            }
            Member member = view.at(address);
            if (member != null && member.status().present() && !member.name().equals(self.name())) {
                begin(nowUs, member);
                break;
            }
            if (!absentAsked) {
                absentAsked = true;
                // It hears in this way what is thought of it, and refutes that if it is there.
                outbox.needed(address, Message.Kind.PING, 0, "", opinion(member));
            }
        }
        if (random.nextInt(Math.max(1, view.addresses())) == 0) {
            probeOneWithoutAddress(nowUs);
        }
    }

    /** The next address but its own, in a new order once all have been; -1 where there is none. */
    private int nextAddress() {
        int address = nextOfRound();
        if (address < 0) {
            order = new ProbeOrder(view.addresses(), random);
            address = nextOfRound();
        }
        return address;
    }

    private int nextOfRound() {
        int address = order.next();
        return address >= 0 && address == ownNumber ? order.next() : address;
    }

    /** A member that is known from hearsay only, and that others have to ask. */
    private void probeOneWithoutAddress(long nowUs) {
        List<Member> without =
                view.all()
                        .filter(
                                m ->
                                        m.address() < 0
                                                && m.status().present()
                                                && !m.name().equals(self.name()))
                        .toList();
        if (!without.isEmpty()) {
            begin(nowUs, without.get(random.nextInt(without.size())));
        }
    }

    private static List<Fact> opinion(Member member) {
        return member == null || member.status() == Status.ALIVE
                ? List.of()
                : List.of(member.fact());
    }

    private void begin(long nowUs, Member member) {
        if (running.size() < MOST_RUNNING && !self.givenWay()) {
            Probe probe = new Probe(member.name(), member.address(), nowUs);
            int number = number();
            running.put(number, probe);
            go(nowUs, number, probe);
        }
    }

    /** Never 0, which stands for none. */
    private int number() {
        next = next + 1 == 0 ? 1 : next + 1;
        return next;
    }

    /**
     * Others have found a member silent: some see for themselves, so that the verdict is not one's
     * alone.
     */
    void rumour(long nowUs, Member suspect) {
        if (random.nextDouble() * Math.max(1, view.present()) < CONFIRMING
                && !suspect.name().equals(self.name())
                && running.values().stream().noneMatch(p -> p.name.equals(suspect.name()))) {
            begin(nowUs, suspect);
        }
    }

    /** Does what is due. */
    void run(long nowUs) {
        for (Map.Entry<Integer, Probe> entry : List.copyOf(running.entrySet())) {
            Probe probe = entry.getValue();
            if (nowUs >= endUs(probe)) {
                running.remove(entry.getKey());
                failed(nowUs, probe);
            } else if (nowUs >= probe.nextUs) {
                go(nowUs, entry.getKey(), probe);
            }
        }
        for (Iterator<Map.Entry<Integer, Relay>> i = relays.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Integer, Relay> entry = i.next();
            Relay relay = entry.getValue();
            if (nowUs >= relay.endUs) {
                i.remove();
                outbox.needed(relay.from, Message.Kind.NACK, relay.number, relay.target, List.of());
            } else if (nowUs >= relay.nextUs) {
                ask(nowUs, entry.getKey(), relay);
            }
        }
    }

    private void go(long nowUs, int number, Probe probe) {
        Member member = view.get(probe.name);
        if (probe.address >= 0) {
            outbox.needed(probe.address, Message.Kind.PING, number, probe.name, opinion(member));
        }
        boolean now = probe.address < 0 || nowUs >= probe.startUs + times(INDIRECT);
        if (!probe.helpersAsked && now) {
            probe.helpersAsked = true;
            for (Member helper : pick(HELPERS, probe.name)) {
                probe.helpers++;
                outbox.needed(
                        helper.address(), Message.Kind.PING_REQUEST, number, probe.name, List.of());
            }
        }
        probe.nextUs = nowUs + times(AGAIN);
    }

    private long times(double periods) {
        return (long) (periods * periodUs);
    }

    private long endUs(Probe probe) {
        return probe.startUs + times(OVER) * health.factor();
    }

    private void failed(long nowUs, Probe probe) {
        if (probe.helpers > 0 && probe.refusals == 0) {
            // None of those asked for help said anything either: then this process itself hears
            // badly.
            health.worse(1);
        }
        Member member = view.get(probe.name);
        if (member != null && !self.leaving()) {
            beliefs.accuse(nowUs, member);
        }
    }

    /**
     * Members that are present and have an address, drawn at random; fewer where there are not as
     * many.
     */
    List<Member> pick(int count, String but) {
        List<Member> picked = new ArrayList<>();
        int addresses = view.addresses();
        for (int i = 0; i < 4 * count + 16 && picked.size() < count && addresses > 0; i++) {
            take(picked, view.at(random.nextInt(addresses)), but);
        }
        if (picked.isEmpty()) {
            // Few of many addresses are in use.
            for (int i = 0; i < addresses && picked.size() < count; i++) {
                take(picked, view.at(i), but);
            }
        }
        return picked;
    }

    private void take(List<Member> picked, Member member, String but) {
        if (member != null
                && member.status().present()
                && member.address() >= 0
                && !picked.contains(member)
                && !member.name().equals(but)
                && !member.name().equals(self.name())) {
            picked.add(member);
        }
    }

    /** Somebody wants to know of a member. */
    void help(long nowUs, int from, Message request) {
        Member target = view.get(request.target());
        if (target == null || target.address() < 0 || relays.size() >= MOST_RELAYS) {
            outbox.needed(from, Message.Kind.NACK, request.number(), request.target(), List.of());
            return;
        }
        Relay relay = new Relay(from, request.number(), target, nowUs, nowUs + times(INDIRECT));
        int number = number();
        relays.put(number, relay);
        ask(nowUs, number, relay);
    }

    private void ask(long nowUs, int number, Relay relay) {
        relay.nextUs = nowUs + times(AGAIN);
        outbox.needed(
                relay.address,
                Message.Kind.PING,
                number,
                relay.target,
                opinion(view.get(relay.target)));
    }

    /**
     * An answer.
     *
     * @param from the address from which it came
     * @param current whether its sender is who this process thinks it is, and not an older run
     */
    void answered(int from, Message answer, boolean current) {
        Probe probe = running.get(answer.number());
        if (probe != null && (probe.address != from || current)) {
            running.remove(answer.number());
            // Another process at that address says nothing about the member.
            if (probe.address != from || answer.sender().name().equals(probe.name)) {
                health.better();
            }
        }
        Relay relay = relays.get(answer.number());
        if (relay != null && current && answer.sender().name().equals(relay.target)) {
            relays.remove(answer.number());
            outbox.needed(
                    relay.from,
                    Message.Kind.ACK,
                    relay.number,
                    relay.target,
                    List.of(answer.sender()));
        }
    }

    /** A helper did not hear from the member either. */
    void refused(Message answer) {
        Probe probe = running.get(answer.number());
        if (probe != null) {
            probe.refusals++;
        }
    }

    /** What ran while this process was held up proves nothing. */
    void heldUp() {
        running.clear();
        relays.clear();
    }

    /** When something is due; {@link Long#MAX_VALUE} where nothing is. */
    long nextUs() {
        long at = Long.MAX_VALUE;
        for (Probe probe : running.values()) {
            at = Math.min(at, Math.min(probe.nextUs, endUs(probe)));
        }
        for (Relay relay : relays.values()) {
            at = Math.min(at, Math.min(relay.nextUs, relay.endUs));
        }
        return at;
    }
}
