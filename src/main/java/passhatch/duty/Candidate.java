package passhatch.duty;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One process that wants one duty. It holds it once more than half of the voters have granted its
 * term, until a lease after it asked them, less what clocks may drift, and asks again well before
 * that. For one thread; the clock passed in must not go back, and runs on while the process is
 * held.
 */
public class Candidate {

    /** Askings in a lease: two may get lost. */
    private static final int ASKS_A_LEASE = 4;

    /** The shortest wait after an asking that came to nothing, as a part of a lease. */
    private static final int SHORTEST_WAIT = 32;

    /**
     * Asked so often at once after another gave the duty up; its word may reach voters a little
     * later.
     */
    private static final int TRIES_TO_TAKE = 20;

    private static final int TAKE_AGAIN = 256;

    private enum Phase {
        IDLE,
        WAITING,
        ASKING,
        HOLDING
    }

    private final DutySettings settings;
    private final String duty;
    private final String holder;
    private final RandomGenerator random;
    private final DutyActions actions;
    private final long rankWaitUs;
    private Phase phase = Phase.IDLE;
    private long term;
    private long greatestSeen;
    private int round;
    private long askedUs;
    private final Set<String> granted = new HashSet<>();
    private final Set<String> refused = new HashSet<>();
    private long actUntilUs;
    private long wakeAtUs = Long.MAX_VALUE;
    private long waitUs;
    private long boundUs;
    private int triesToTake;

    /**
     * A candidate that does not want the duty yet.
     *
     * @param holder its name and its life, unlike that of any other process or start
     * @param rank 0 for those that should have the duty rather than others; each more waits longer
     */
    public Candidate(
            DutySettings settings,
            String duty,
            String holder,
            int rank,
            RandomGenerator random,
            DutyActions actions) {
        this.settings = settings;
        this.duty = duty;
        this.holder = holder;
        this.random = random;
        this.actions = actions;
        this.rankWaitUs = rank * (settings.leaseUs() / SHORTEST_WAIT);
        this.waitUs = settings.leaseUs() / SHORTEST_WAIT;
    }

    /** Votes that are needed. */
    protected int majority() {
        return settings.voters().size() / 2 + 1;
    }

    /** From when a lease is counted, of an asking that was answered now. */
    protected long countedFromUs(long asked, long nowUs) {
        return asked;
    }

    /** Wants the duty from now on. */
    public void want(long nowUs) {
        if (phase == Phase.IDLE) {
            waitAndAsk(nowUs, 0);
        }
    }

    /** When {@link #timer} has to be called; {@link Long#MAX_VALUE} for never. */
    public long wakeAtUs() {
        return wakeAtUs;
    }

    /** Whether this process may act on the duty at this moment; to be asked at each act. */
    public boolean mayAct(long nowUs) {
        return phase == Phase.HOLDING && nowUs < actUntilUs;
    }

    /** The same for an act that was planned in a term. */
    public boolean guard(long nowUs, long ofTerm) {
        return mayAct(nowUs) && term == ofTerm;
    }

    /** The term that it holds; 0 where it holds none. */
    public long term() {
        return phase == Phase.HOLDING ? term : 0;
    }

    /** So long it may act without another answer, in microseconds. */
    public long leftUs(long nowUs) {
        return mayAct(nowUs) ? actUntilUs - nowUs : 0;
    }

    /** Does what is due. */
    public void timer(long nowUs) {
        if (phase == Phase.HOLDING && nowUs >= actUntilUs) {
            lose(nowUs);
        } else if (nowUs >= wakeAtUs) {
            switch (phase) {
                case WAITING -> ask(nowUs, Math.max(term, greatestSeen) + 1);
                case ASKING -> fail(nowUs);
                case HOLDING -> renew(nowUs);
                case IDLE -> wakeAtUs = Long.MAX_VALUE;
            }
        }
    }

    private void ask(long nowUs, long newTerm) {
        phase = Phase.ASKING;
        term = newTerm;
        boundUs = 0;
        send(nowUs);
        wakeAtUs = nowUs + settings.leaseUs() / ASKS_A_LEASE;
    }

    private void renew(long nowUs) {
        send(nowUs);
        wakeAtUs = Math.min(actUntilUs, nowUs + settings.leaseUs() / ASKS_A_LEASE);
    }

    private void send(long nowUs) {
        round++;
        askedUs = nowUs;
        granted.clear();
        refused.clear();
        toVoters(DutyMessage.Kind.REQUEST);
    }

    private void toVoters(DutyMessage.Kind kind) {
        DutyMessage message = message(kind);
        settings.voters().forEach(v -> actions.send(v, message));
    }

    private DutyMessage message(DutyMessage.Kind kind) {
        return new DutyMessage(kind, settings.epoch(), duty, term, round, holder, 0);
    }

    /** A voter's answer, or the word of another holder that it has given up. */
    public void hear(long nowUs, String from, DutyMessage message) {
        if (message.epoch() != settings.epoch() || !message.duty().equals(duty)) {
            return;
        }
        if (message.kind() == DutyMessage.Kind.TAKE) {
            take(nowUs, message);
        } else if (message.holder().equals(holder) && message.round() == round) {
            if (message.kind() == DutyMessage.Kind.GRANT && message.term() == term) {
                grant(nowUs, from);
            } else if (message.kind() == DutyMessage.Kind.REFUSAL) {
                refuse(nowUs, from, message);
            }
        }
    }

    private void grant(long nowUs, String from) {
        if (phase != Phase.ASKING && phase != Phase.HOLDING || !settings.voters().contains(from)) {
            return;
        }
        granted.add(from);
        long until = countedFromUs(askedUs, nowUs) + settings.actingUs();
        if (granted.size() < majority() || nowUs >= until) {
            return;
        }
        if (phase == Phase.HOLDING && nowUs >= actUntilUs) {
            lose(nowUs);
            return;
        }
        actUntilUs = Math.max(until, phase == Phase.HOLDING ? actUntilUs : 0);
        wakeAtUs = Math.min(actUntilUs, askedUs + settings.leaseUs() / ASKS_A_LEASE);
        if (phase == Phase.ASKING) {
            phase = Phase.HOLDING;
            waitUs = settings.leaseUs() / SHORTEST_WAIT;
            triesToTake = 0;
            actions.granted(term);
        }
    }

    private void refuse(long nowUs, String from, DutyMessage refusal) {
        greatestSeen = Math.max(greatestSeen, refusal.term());
        if (phase == Phase.ASKING) {
            refused.add(from);
            boundUs = Math.max(boundUs, refusal.waitUs());
            if (settings.voters().size() - refused.size() < majority()) {
                fail(nowUs);
            }
        }
    }

    /** Gives back what it got, so that others need not wait a lease for nobody. */
    private void fail(long nowUs) {
        toVoters(DutyMessage.Kind.RELEASE);
        if (triesToTake > 0) {
            triesToTake--;
            phase = Phase.WAITING;
            wakeAtUs = nowUs + settings.leaseUs() / TAKE_AGAIN;
        } else {
            // Where another has it there is a time to come back; only a split vote asks for more
            // patience.
            waitUs =
                    boundUs > 0
                            ? settings.leaseUs() / SHORTEST_WAIT
                            : Math.min(2 * waitUs, settings.leaseUs());
            waitAndAsk(nowUs, boundUs);
        }
    }

    private void waitAndAsk(long nowUs, long atLeastUs) {
        phase = Phase.WAITING;
        wakeAtUs = nowUs + atLeastUs + rankWaitUs + 1 + random.nextLong(waitUs);
    }

    private void lose(long nowUs) {
        long had = term;
        waitAndAsk(nowUs, 0);
        actions.lost(had);
    }

    private void take(long nowUs, DutyMessage message) {
        greatestSeen = Math.max(greatestSeen, message.term());
        if (phase == Phase.WAITING) {
            triesToTake = TRIES_TO_TAKE;
            ask(nowUs, Math.max(term, greatestSeen) + 1);
        }
    }

    /**
     * Gives the duty up, or the wish for it.
     *
     * @param to another candidate that should have it, or null
     */
    public void giveUp(long nowUs, String to) {
        Phase before = phase;
        phase = Phase.IDLE;
        wakeAtUs = Long.MAX_VALUE;
        if (before == Phase.HOLDING) {
            // It stops acting before anybody hears that it has.
            actions.lost(term);
        }
        if (before == Phase.HOLDING || before == Phase.ASKING) {
            toVoters(DutyMessage.Kind.RELEASE);
        }
        if (before == Phase.HOLDING && to != null) {
            actions.send(to, message(DutyMessage.Kind.TAKE));
        }
    }

    /** When it asked last. */
    public long askedUs() {
        return askedUs;
    }

    /** How a voter has answered what was asked last; null where it has not. */
    public DutyMessage.Kind answerOf(String voter) {
        return granted.contains(voter)
                ? DutyMessage.Kind.GRANT
                : refused.contains(voter) ? DutyMessage.Kind.REFUSAL : null;
    }

    @Override
    public String toString() {
        return phase
                + " term "
                + term
                + " round "
                + round
                + " granted "
                + granted.size()
                + " seen "
                + greatestSeen
                + " tries "
                + triesToTake
                + " bound "
                + boundUs;
    }
}
