package passhatch.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Membership of one process: told the time and what arrived, it says what to send and when to wake
 * it. For one thread; it never blocks. After each call {@link #wakeAtUs} is when {@link #timer} has
 * to be called next. Whoever drives it hands over datagrams that wait before it calls the timer.
 *
 * <p>Failure detection in the manner of SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's local
 * health (Dadgar, Phillips, Currey, 2017), and anti-entropy. What each view says when is in {@code
 * docs/membership.md}.
 */
public final class Membership {

    /** Bytes of the heap that a proxy's membership may hold: a quarter of what control has. */
    private static final int MOST_HEAP_BYTES = 32 << 20;

    /**
     * Bytes that one member takes at most, as {@code scale membership} measured it: with the news
     * of it still to be told. Those that are shown no more take as much again at worst.
     */
    private static final int BYTES_PER_MEMBER = 512;

    /** Members that one process knows at most; what is told of further ones is not taken. */
    public static final int MOST_MEMBERS = MOST_HEAP_BYTES / (2 * BYTES_PER_MEMBER);

    /** Times as shares of a period. */
    private static final double GOSSIP_EVERY = 0.4;

    private static final double SYNC_EVERY = 4;
    private static final double FIRST_PROBES_EVERY = 0.2;
    private static final double LATE = 0.5;

    /**
     * Members that news goes to at a time; to more where there is more than fits, within the
     * budget.
     */
    private static final int GOSSIP_TO = 3;

    private static final int MOST_GOSSIP_TO = 6;
    private static final int NEWS_A_DATAGRAM = 8;

    /** Members that hear at once that this one goes. */
    private static final int FAREWELLS = 8;

    /** While it knows fewer others it looks for them more often. */
    private static final int FEW = 4;

    private static final long FORGET_EVERY_US = 10_000_000;

    private final FleetActions actions;
    private final RandomGenerator random;
    private final Self self;
    private final View view;
    private final LocalHealth health = new LocalHealth();
    private final Outbox outbox;
    private final Beliefs beliefs;
    private final Probes probes;
    private final AntiEntropy antiEntropy;
    private FleetSettings settings;
    private long nowUs;

    /** What the caller's clock has gone back by, in all. */
    private long skewUs;

    private long wakeAtUs;
    private long probeAtUs;
    private long gossipAtUs;
    private long syncAtUs;
    private long forgetAtUs;
    private long received;
    private long heldUps;

    /**
     * Takes part from now on.
     *
     * @param epoch durable, and greater than in any earlier run where the disk kept it
     * @param random seeded by the caller; all that is drawn comes from it
     */
    public Membership(
            FleetSettings settings,
            long nowUs,
            long epoch,
            RandomGenerator random,
            FleetActions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        this.nowUs = nowUs;
        this.self = new Self(settings, epoch, random.nextInt());
        this.view = new View(settings.addresses());
        this.outbox = new Outbox(settings, self::fact, view, actions);
        outbox.now(nowUs);
        this.beliefs =
                new Beliefs(
                        settings,
                        self,
                        view,
                        outbox,
                        health,
                        actions,
                        suspect -> probes().rumour(this.nowUs, suspect));
        this.probes = new Probes(settings, self, view, outbox, beliefs, health, random);
        this.antiEntropy = new AntiEntropy(view, outbox, random);
        Member own = view.add(self.fact(), nowUs);
        outbox.news().add(own.fact());
        actions.changed(null, own.info());
        // Not all at the same moment, where all start at the same moment.
        probeAtUs = nowUs + random.nextLong(periods(1));
        gossipAtUs = probeAtUs;
        syncAtUs = nowUs + random.nextLong(periods(SYNC_EVERY));
        forgetAtUs = nowUs + FORGET_EVERY_US;
        wakeAtUs = next();
    }

    /**
     * What a process knows that knows just these, each as it speaks of itself: a start for views
     * that agree from the beginning, which then share their state until they change.
     */
    public static Snapshot snapshot(Collection<Membership> members, int addresses) {
        View view = new View(addresses);
        members.forEach(m -> view.add(m.self.fact(), m.nowUs));
        return new Snapshot(view);
    }

    /** A view to start from; see {@link Membership#snapshot}. */
    public static final class Snapshot {
        private final View view;

        private Snapshot(View view) {
            this.view = view;
        }
    }

    /** Takes what is known from a snapshot that has this process; nothing of it is news. */
    public void adopt(Snapshot snapshot) {
        view.adopt(snapshot.view);
        outbox.news().clear();
        wakeAtUs = next();
    }

    /** For the rumours, which come only once all is put together. */
    private Probes probes() {
        return probes;
    }

    private long periods(double count) {
        return (long) (count * settings.periodUs());
    }

    /** When {@link #timer} has to be called next, on the clock whose times are passed in. */
    public long wakeAtUs() {
        return wakeAtUs - skewUs;
    }

    /** A datagram has arrived from the address at this place of the list. */
    public void datagram(long us, int address, byte[] bytes) {
        enter(us);
        try {
            take(address, outbox.codec().decode(bytes));
        } catch (Codec.Rejected bad) {
            outbox.dropped(bad.why());
        }
        wakeAtUs = next();
    }

    /** A datagram was not handed in, for this reason. */
    public void dropped(Drop why) {
        outbox.dropped(why);
    }

    private void take(int address, Message message) {
        Fact sender = message.sender();
        boolean own = sender.name().equals(self.name());
        if (own && sender.incarnation().sameLife(self.incarnation())) {
            outbox.dropped(Drop.ECHO);
            return;
        }
        received++;
        beliefs.hear(nowUs, sender);
        if (own && !self.givenWay()) {
            beliefs.rival(nowUs, sender, address);
        }
        Member member = view.get(sender.name());
        boolean current =
                !own && member != null && member.fact().incarnation().equals(sender.incarnation());
        if (current) {
            view.heard(member, address);
        }
        message.facts().forEach(f -> beliefs.hear(nowUs, f));
        switch (message.kind()) {
            case PING ->
                    outbox.needed(address, Message.Kind.ACK, message.number(), "", opinion(sender));
            case ACK -> probes.answered(address, message, current);
            case NACK -> probes.refused(message);
            case PING_REQUEST -> probes.help(nowUs, address, message);
            case SYNC -> antiEntropy.compare(address, message.node(), message.digests());
            case LEAF -> antiEntropy.answer(address, message.node(), message.facts());
            case GOSSIP, LEAF_ANSWER -> {}
        }
    }

    /**
     * What a sender has to hear: that it is thought to be gone, or that a newer process has its
     * name.
     */
    private List<Fact> opinion(Fact sender) {
        Member member = view.get(sender.name());
        Fact known = member == null ? view.lastWord(sender.name()) : member.fact();
        return known == null
                        || known.status() == sender.status()
                                && known.incarnation().equals(sender.incarnation())
                ? List.of()
                : List.of(known);
    }

    /** The time of {@link #wakeAtUs} has come. */
    public void timer(long us) {
        enter(us);
        beliefs.expire(nowUs);
        probes.run(nowUs);
        if (nowUs >= probeAtUs && !self.leaving()) {
            probes.tick(nowUs);
            boolean few = view.present() <= Math.min(FEW, settings.addresses() - 1);
            probeAtUs = nowUs + periods(few ? FIRST_PROBES_EVERY : health.factor());
        }
        if (nowUs >= gossipAtUs) {
            int news = outbox.news().size();
            if (news > 0) {
                int to = Math.min(MOST_GOSSIP_TO, GOSSIP_TO + news / NEWS_A_DATAGRAM);
                probes.pick(to, "").forEach(m -> outbox.gossip(m.address()));
            }
            gossipAtUs = nowUs + periods(GOSSIP_EVERY);
        }
        if (nowUs >= syncAtUs && !self.leaving()) {
            List<Member> with = probes.pick(1, "");
            boolean soon = with.isEmpty() || antiEntropy.begin(with.get(0));
            syncAtUs = nowUs + periods(soon ? GOSSIP_EVERY : SYNC_EVERY);
        }
        if (nowUs >= forgetAtUs) {
            beliefs.forget(nowUs, settings.forgetAfterUs());
            forgetAtUs = nowUs + FORGET_EVERY_US;
        }
        wakeAtUs = next();
    }

    /**
     * Takes the time. Where the caller's clock went back, time goes on from where it was; where
     * this process was held up, what it waited for had no chance to come.
     */
    private void enter(long us) {
        skewUs = Math.max(skewUs, nowUs - us);
        nowUs = us + skewUs;
        outbox.now(nowUs);
        long late = nowUs - wakeAtUs;
        if (late > periods(LATE)) {
            heldUps++;
            health.worse(1);
            probes.heldUp();
            beliefs.heldUp(late);
            wakeAtUs = nowUs;
        }
    }

    private long next() {
        long at = Math.min(beliefs.nextUs(), probes.nextUs());
        if (!self.leaving()) {
            at = Math.min(at, Math.min(probeAtUs, syncAtUs));
        }
        if (outbox.news().size() > 0) {
            at = Math.min(at, gossipAtUs);
        }
        return Math.max(nowUs, Math.min(at, forgetAtUs));
    }

    /**
     * Says that it goes. Whoever drives it goes on for a second or so, so that the others hear of
     * it.
     */
    public void leave(long us) {
        enter(us);
        self.leave();
        if (!self.givenWay()) {
            view.change(view.get(self.name()), self.fact(), nowUs);
            outbox.news().add(self.fact());
            probes.pick(FAREWELLS, "").forEach(m -> outbox.gossip(m.address()));
        }
        wakeAtUs = next();
    }

    /**
     * The list of addresses is another one now.
     *
     * @param newPlaces for each place of the old list the one in the new list, or -1 where it is
     *     gone
     * @param ownNumber place of this process's own in the new list, or -1
     * @param addresses length of the new list
     */
    public void readdress(long us, int[] newPlaces, int ownNumber, int addresses) {
        enter(us);
        settings = settings.withAddresses(ownNumber, addresses);
        self.number(ownNumber);
        view.move(newPlaces, addresses);
        probes.moved(ownNumber);
        probeAtUs = nowUs;
        wakeAtUs = next();
    }

    /** This process's own name. */
    public String name() {
        return self.name();
    }

    /** This process's own incarnation. */
    public Incarnation incarnation() {
        return self.incarnation();
    }

    /** Whether another, newer process has this one's name: then this one takes no part. */
    public boolean givenWay() {
        return self.givenWay();
    }

    /** At which place of the list a member is found; -1 where that is not known. */
    public int address(String member) {
        Member known = view.get(member);
        return known == null ? -1 : known.address();
    }

    /** How long a member has had its status, in microseconds up to now. */
    public long ageUs(MemberInfo member) {
        return nowUs - member.sinceUs();
    }

    /** All members that are known, this one among them, by name. */
    public List<MemberInfo> members() {
        return view.all().map(Member::info).sorted(Comparator.comparing(MemberInfo::name)).toList();
    }

    /** Members that are present in the view, this one and suspects among them. */
    public int present() {
        return view.present();
    }

    /** Whether just these are present in the view, suspects among them. */
    public boolean sees(Set<String> names) {
        return view.present() == names.size()
                && names.stream().map(view::get).allMatch(m -> m != null && m.status().present());
    }

    /** A digest of the view but for suspicion: where two processes have the same, they agree. */
    public int digest() {
        return view.digests().root();
    }

    /**
     * Counts since the start.
     *
     * @param localHealth from 0, all is well, to 8: how far this process distrusts itself
     * @param heldUps how often a timer came so late that it voided what was being waited for
     * @param received datagrams that were taken
     * @param sent datagrams
     * @param sentBytes bytes of those
     * @param dropped datagrams that were not taken or not sent, by reason
     */
    public record Figures(
            int localHealth,
            long heldUps,
            long received,
            long sent,
            long sentBytes,
            Map<Drop, Long> dropped) {}

    /** The figures as they are now. */
    public Figures figures() {
        return new Figures(
                health.score(),
                heldUps,
                received,
                outbox.sent(),
                outbox.sentBytes(),
                new TreeMap<>(outbox.drops()));
    }
}
