package passhatch.duty;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One process that competes for one duty. It holds the duty once more than half of the voters have
 * granted its term. The lease counts from its request to the voters and is shortened by the maximum
 * clock drift; the candidate renews it well before it ends. Not thread-safe; the clock passed in
 * must not go back, and must keep running while the process is stalled.
 */
public class Candidate {

    /** Requests per lease: two of them may get lost. */
    private static final int REQUESTS_PER_LEASE = 4;

    /** The minimum backoff after a failed request is the lease divided by this. */
    private static final int MIN_BACKOFF_DIVISOR = 32;

    /**
     * Maximum number of attempts in quick succession after another holder gave the duty up; its
     * release may reach voters a little later.
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
    private long lastRequestUs;
    private final Set<String> grantedBy = new HashSet<>();
    private final Set<String> refusedBy = new HashSet<>();
    private long leaseUntilUs;
    private long wakeAtUs = Long.MAX_VALUE;
    private long backoffUs;
    private long maxRefusalWaitUs;
    private int acquireAttemptsLeft;

    /**
     * Creates a candidate that does not compete for the duty yet.
     *
     * @param holder name and incarnation of the process, different from those of any other process
     *     or start
     * @param rank 0 for processes that are preferred as holder; each higher rank waits longer
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

    /** Returns the number of grants that are needed. */
    protected int majority() {
        return settings.voters().size() / 2 + 1;
    }

    /**
     * Returns the time from which a lease counts, given the time of the request and of the reply.
     */
    protected long leaseStartUs(long requestUs, long nowUs) {
        return requestUs;
    }

    /** Starts to compete for the duty. */
    public void campaign(long nowUs) {
        if (phase == Phase.IDLE) {
            scheduleRequest(nowUs, 0);
        }
    }

    /**
     * Returns the time at which {@link #timer} has to be called; {@link Long#MAX_VALUE} for never.
     */
    public long wakeAtUs() {
        return wakeAtUs;
    }

    /** Returns whether this process may act on the duty now; to be checked before each action. */
    public boolean mayAct(long nowUs) {
        return phase == Phase.HOLDING && nowUs < leaseUntilUs;
    }

    /** Returns whether this process may act on the duty now and still holds the given term. */
    public boolean mayActInTerm(long nowUs, long expectedTerm) {
        return mayAct(nowUs) && term == expectedTerm;
    }

    /** Returns the term that it holds; 0 if it holds none. */
    public long term() {
        return phase == Phase.HOLDING ? term : 0;
    }

    /** Returns how long it may act without another reply, in microseconds. */
    public long remainingLeaseUs(long nowUs) {
        return mayAct(nowUs) ? leaseUntilUs - nowUs : 0;
    }

    /** Performs all actions that are due. */
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
        maxRefusalWaitUs = 0;
        sendRequest(nowUs);
        wakeAtUs = nowUs + settings.leaseUs() / REQUESTS_PER_LEASE;
    }

    private void renew(long nowUs) {
        sendRequest(nowUs);
        wakeAtUs = Math.min(leaseUntilUs, nowUs + settings.leaseUs() / REQUESTS_PER_LEASE);
    }

    private void sendRequest(long nowUs) {
        round++;
        lastRequestUs = nowUs;
        grantedBy.clear();
        refusedBy.clear();
        sendToVoters(DutyMessage.Kind.REQUEST);
    }

    private void sendToVoters(DutyMessage.Kind kind) {
        DutyMessage message = createMessage(kind);
        settings.voters().forEach(v -> actions.send(v, message));
    }

    private DutyMessage createMessage(DutyMessage.Kind kind) {
        return new DutyMessage(kind, settings.epoch(), duty, term, round, holder, 0);
    }

    /**
     * Handles a reply of a voter, or the notice of another holder that it has given the duty up.
     */
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
        grantedBy.add(from);
        long until = leaseStartUs(lastRequestUs, nowUs) + settings.holderLeaseUs();
        if (grantedBy.size() < majority() || nowUs >= until) {
            return;
        }
        if (phase == Phase.HOLDING && nowUs >= leaseUntilUs) {
            loseLease(nowUs);
            return;
        }
        leaseUntilUs = Math.max(until, phase == Phase.HOLDING ? leaseUntilUs : 0);
        wakeAtUs = Math.min(leaseUntilUs, lastRequestUs + settings.leaseUs() / REQUESTS_PER_LEASE);
        if (phase == Phase.ASKING) {
            phase = Phase.HOLDING;
            backoffUs = settings.leaseUs() / MIN_BACKOFF_DIVISOR;
            acquireAttemptsLeft = 0;
            actions.dutyAcquired(term);
        }
    }

    private void onRefusal(long nowUs, String from, DutyMessage refusal) {
        maxSeenTerm = Math.max(maxSeenTerm, refusal.term());
        if (phase == Phase.ASKING) {
            refusedBy.add(from);
            maxRefusalWaitUs = Math.max(maxRefusalWaitUs, refusal.waitUs());
            if (settings.voters().size() - refusedBy.size() < majority()) {
                onRequestFailed(nowUs);
            }
        }
    }

    /** Releases what was granted, so that others need not wait for the end of an unused lease. */
    private void onRequestFailed(long nowUs) {
        sendToVoters(DutyMessage.Kind.RELEASE);
        if (acquireAttemptsLeft > 0) {
            acquireAttemptsLeft--;
            phase = Phase.WAITING;
            wakeAtUs = nowUs + settings.leaseUs() / ACQUIRE_RETRY_DIVISOR;
        } else {
            // If another process holds the duty, the voters report when its lease ends; only a
            // split vote needs a longer backoff.
            backoffUs =
                    maxRefusalWaitUs > 0
                            ? settings.leaseUs() / MIN_BACKOFF_DIVISOR
                            : Math.min(2 * backoffUs, settings.leaseUs());
            scheduleRequest(nowUs, maxRefusalWaitUs);
        }
    }

    private void scheduleRequest(long nowUs, long minDelayUs) {
        phase = Phase.WAITING;
        wakeAtUs = nowUs + minDelayUs + rankDelayUs + 1 + random.nextLong(backoffUs);
    }

    private void loseLease(long nowUs) {
        long lostTerm = term;
        scheduleRequest(nowUs, 0);
        actions.dutyLost(lostTerm);
    }

    private void onTake(long nowUs, DutyMessage message) {
        maxSeenTerm = Math.max(maxSeenTerm, message.term());
        if (phase == Phase.WAITING) {
            acquireAttemptsLeft = MAX_ACQUIRE_ATTEMPTS;
            requestTerm(nowUs, Math.max(term, maxSeenTerm) + 1);
        }
    }

    /**
     * Gives the duty up, or stops competing for it.
     *
     * @param to another candidate that should acquire it, or null
     */
    public void giveUp(long nowUs, String to) {
        Phase before = phase;
        phase = Phase.IDLE;
        wakeAtUs = Long.MAX_VALUE;
        if (before == Phase.HOLDING) {
            // Stop acting before any other process learns that the duty is free.
            actions.dutyLost(term);
        }
        if (before == Phase.HOLDING || before == Phase.ASKING) {
            sendToVoters(DutyMessage.Kind.RELEASE);
        }
        if (before == Phase.HOLDING && to != null) {
            actions.send(to, createMessage(DutyMessage.Kind.TAKE));
        }
    }

    /** Returns the time of its last request. */
    public long lastRequestUs() {
        return lastRequestUs;
    }

    /** Returns the reply of a voter to the last request; null if there is none. */
    public DutyMessage.Kind lastReplyOf(String voter) {
        return grantedBy.contains(voter)
                ? DutyMessage.Kind.GRANT
                : refusedBy.contains(voter) ? DutyMessage.Kind.REFUSAL : null;
    }

    @Override
    public String toString() {
        return phase
                + " term "
                + term
                + " round "
                + round
                + " granted "
                + grantedBy.size()
                + " seen "
                + maxSeenTerm
                + " tries "
                + acquireAttemptsLeft
                + " bound "
                + maxRefusalWaitUs;
    }
}
