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
    private static final int REQUESTS_PER_LEASE = 4;

    /** The shortest wait after an asking that came to nothing, as a part of a lease. */
    private static final int MIN_BACKOFF_DIVISOR = 32;

    /**
     * Asked so often at once after another gave the duty up; its word may reach voters a little
     * later.
     */
    private static final int MAX_ACQUIRE_ATTEMPTS = 20;

    private static final int ACQUIRE_RETRY_DIVISOR = 256;

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
    private final long rankDelayUs;
    private Phase phase = Phase.IDLE;
    private long term;
    private long maxSeenTerm;
    private int round;
    private long requestedUs;
    private final Set<String> granted = new HashSet<>();
    private final Set<String> refused = new HashSet<>();
    private long leaseUntilUs;
    private long wakeAtUs = Long.MAX_VALUE;
    private long backoffUs;
    private long votersBoundUs;
    private int acquireAttemptsLeft;

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
        this.rankDelayUs = rank * (settings.leaseUs() / MIN_BACKOFF_DIVISOR);
        this.backoffUs = settings.leaseUs() / MIN_BACKOFF_DIVISOR;
    }

    /** Votes that are needed. */
    protected int majority() {
        return settings.voters().size() / 2 + 1;
    }

    /** From when a lease is counted, of an asking that was answered now. */
    protected long leaseStartUs(long requestUs, long nowUs) {
        return requestUs;
    }

    /** Wants the duty from now on. */
    public void campaign(long nowUs) {
        if (phase == Phase.IDLE) {
            scheduleRequest(nowUs, 0);
        }
    }

    /** When {@link #timer} has to be called; {@link Long#MAX_VALUE} for never. */
    public long wakeAtUs() {
        return wakeAtUs;
    }

    /** Whether this process may act on the duty at this moment; to be asked at each act. */
    public boolean mayAct(long nowUs) {
        return phase == Phase.HOLDING && nowUs < leaseUntilUs;
    }

    /** The same for an act that was planned in a term. */
    public boolean mayActInTerm(long nowUs, long expectedTerm) {
        return mayAct(nowUs) && term == expectedTerm;
    }

    /** The term that it holds; 0 where it holds none. */
    public long term() {
        return phase == Phase.HOLDING ? term : 0;
    }

    /** So long it may act without another answer, in microseconds. */
    public long remainingUs(long nowUs) {
        return mayAct(nowUs) ? leaseUntilUs - nowUs : 0;
    }

    /** Does what is due. */
    public void timer(long nowUs) {
        if (phase == Phase.HOLDING && nowUs >= leaseUntilUs) {
            loseLease(nowUs);
        } else if (nowUs >= wakeAtUs) {
            switch (phase) {
                case WAITING -> requestTerm(nowUs, Math.max(term, maxSeenTerm) + 1);
                case ASKING -> onRequestFailed(nowUs);
                case HOLDING -> renew(nowUs);
                case IDLE -> wakeAtUs = Long.MAX_VALUE;
            }
        }
    }

    private void requestTerm(long nowUs, long newTerm) {
        phase = Phase.ASKING;
        term = newTerm;
        votersBoundUs = 0;
        sendRequest(nowUs);
        wakeAtUs = nowUs + settings.leaseUs() / REQUESTS_PER_LEASE;
    }

    private void renew(long nowUs) {
        sendRequest(nowUs);
        wakeAtUs = Math.min(leaseUntilUs, nowUs + settings.leaseUs() / REQUESTS_PER_LEASE);
    }

    private void sendRequest(long nowUs) {
        round++;
        requestedUs = nowUs;
        granted.clear();
        refused.clear();
        sendToVoters(DutyMessage.Kind.REQUEST);
    }

    private void sendToVoters(DutyMessage.Kind kind) {
        DutyMessage message = message(kind);
        settings.voters().forEach(v -> actions.send(v, message));
    }

    private DutyMessage message(DutyMessage.Kind kind) {
        return new DutyMessage(kind, settings.epoch(), duty, term, round, holder, 0);
    }

    /** A voter's answer, or the word of another holder that it has given up. */
    public void onMessage(long nowUs, String from, DutyMessage message) {
        if (message.epoch() != settings.epoch() || !message.duty().equals(duty)) {
            return;
        }
        if (message.kind() == DutyMessage.Kind.TAKE) {
            onTake(nowUs, message);
        } else if (message.holder().equals(holder) && message.round() == round) {
            if (message.kind() == DutyMessage.Kind.GRANT && message.term() == term) {
                onGrant(nowUs, from);
            } else if (message.kind() == DutyMessage.Kind.REFUSAL) {
                onRefusal(nowUs, from, message);
            }
        }
    }

    private void onGrant(long nowUs, String from) {
        if (phase != Phase.ASKING && phase != Phase.HOLDING || !settings.voters().contains(from)) {
            return;
        }
        granted.add(from);
        long until = leaseStartUs(requestedUs, nowUs) + settings.holderLeaseUs();
        if (granted.size() < majority() || nowUs >= until) {
            return;
        }
        if (phase == Phase.HOLDING && nowUs >= leaseUntilUs) {
            loseLease(nowUs);
            return;
        }
        leaseUntilUs = Math.max(until, phase == Phase.HOLDING ? leaseUntilUs : 0);
        wakeAtUs = Math.min(leaseUntilUs, requestedUs + settings.leaseUs() / REQUESTS_PER_LEASE);
        if (phase == Phase.ASKING) {
            phase = Phase.HOLDING;
            backoffUs = settings.leaseUs() / MIN_BACKOFF_DIVISOR;
            acquireAttemptsLeft = 0;
            actions.granted(term);
        }
    }

    private void onRefusal(long nowUs, String from, DutyMessage refusal) {
        maxSeenTerm = Math.max(maxSeenTerm, refusal.term());
        if (phase == Phase.ASKING) {
            refused.add(from);
            votersBoundUs = Math.max(votersBoundUs, refusal.waitUs());
            if (settings.voters().size() - refused.size() < majority()) {
                onRequestFailed(nowUs);
            }
        }
    }

    /** Gives back what it got, so that others need not wait a lease for nobody. */
    private void onRequestFailed(long nowUs) {
        sendToVoters(DutyMessage.Kind.RELEASE);
        if (acquireAttemptsLeft > 0) {
            acquireAttemptsLeft--;
            phase = Phase.WAITING;
            wakeAtUs = nowUs + settings.leaseUs() / ACQUIRE_RETRY_DIVISOR;
        } else {
            // Where another has it there is a time to come back; only a split vote asks for more
            // patience.
            backoffUs =
                    votersBoundUs > 0
                            ? settings.leaseUs() / MIN_BACKOFF_DIVISOR
                            : Math.min(2 * backoffUs, settings.leaseUs());
            scheduleRequest(nowUs, votersBoundUs);
        }
    }

    private void scheduleRequest(long nowUs, long minDelayUs) {
        phase = Phase.WAITING;
        wakeAtUs = nowUs + minDelayUs + rankDelayUs + 1 + random.nextLong(backoffUs);
    }

    private void loseLease(long nowUs) {
        long lostTerm = term;
        scheduleRequest(nowUs, 0);
        actions.lost(lostTerm);
    }

    private void onTake(long nowUs, DutyMessage message) {
        maxSeenTerm = Math.max(maxSeenTerm, message.term());
        if (phase == Phase.WAITING) {
            acquireAttemptsLeft = MAX_ACQUIRE_ATTEMPTS;
            requestTerm(nowUs, Math.max(term, maxSeenTerm) + 1);
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
            sendToVoters(DutyMessage.Kind.RELEASE);
        }
        if (before == Phase.HOLDING && to != null) {
            actions.send(to, message(DutyMessage.Kind.TAKE));
        }
    }

    /** When it asked last. */
    public long requestedUs() {
        return requestedUs;
    }

    /** How a voter has answered what was asked last; null where it has not. */
    public DutyMessage.Kind replyOf(String voter) {
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
                + maxSeenTerm
                + " tries "
                + acquireAttemptsLeft
                + " bound "
                + votersBoundUs;
    }
}
