package passhatch.duty;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * One voter. It grants a term of a duty to one holder, after that is on disk, and then no other
 * term for the time of a lease on its own clock (leases after Gray, Cheriton, 1989; a majority of
 * them as in Paxos; tokens as in Chubby, Burrows, 2006). For one thread; the clock passed in must
 * not go back.
 */
public class Voter {

    /** What is known of a duty beside the promise on disk. */
    private static final class Lease {
        private final Promise promise;
        private long untilUs;
        private boolean released;

        Lease(Promise promise, long untilUs) {
            this.promise = promise;
            this.untilUs = untilUs;
        }
    }

    /** Stands where a message has to have a duty and a holder and means none. */
    private static final String RECALLED = "-";

    private final DutySettings settings;
    private final Predicate<Promise> disk;
    private final Map<String, Lease> leases = new HashMap<>();

    /** What the others told of their terms, while it does not vote. */
    private final Map<String, Long> recalled = new HashMap<>();

    private boolean votes;
    private long floor;
    private long votesFromUs = Long.MAX_VALUE;

    /**
     * A voter that starts. Without {@link Promise#toVote} on its disk it has forgotten, or never
     * voted: it says nothing until it was founded, or has heard from the others what may have been
     * granted.
     *
     * @param promises the last of each duty that its disk has
     * @param disk has a promise on disk for good when it returns true; false where it may not be
     *     there
     */
    public Voter(
            DutySettings settings,
            long nowUs,
            Collection<Promise> promises,
            Predicate<Promise> disk) {
        this.settings = settings;
        this.disk = disk;
        for (Promise promise : promises) {
            if (promise.isToVote()) {
                votes = true;
                floor = promise.term();
                continue;
            }
            leases.put(promise.duty(), new Lease(promise, boundAfterStartUs(nowUs)));
        }
    }

    /**
     * Until when it is bound to the holder on its disk, as it does not know what it renewed before
     * it ended.
     */
    protected long boundAfterStartUs(long nowUs) {
        return nowUs + settings.leaseUs();
    }

    /** Whether a term may be granted to another holder than the one that was promised. */
    protected boolean isNewer(long term, Promise promised) {
        return term > promised.term();
    }

    /** Writes a promise. */
    protected boolean keep(Promise promise) {
        return disk.test(promise);
    }

    /**
     * Begins to vote without a memory. Only for voters that never voted: an operator says so, once,
     * when the first set of voters is founded.
     *
     * @return false where it votes already, or its disk fails
     */
    public boolean found() {
        return !votes && begin(0);
    }

    private boolean begin(long newFloor) {
        if (!keep(Promise.toVote(newFloor))) {
            return false;
        }
        floor = newFloor;
        votes = true;
        return true;
    }

    /** Whether it votes. */
    public boolean votes() {
        return votes;
    }

    /** What to send to all other voters now and then as long as it does not vote. */
    public DutyMessage recall() {
        return new DutyMessage(
                DutyMessage.Kind.RECALL, settings.epoch(), RECALLED, 1, 0, RECALLED, 0);
    }

    /**
     * More than half of all voters, itself not counted, share one with every majority that it may
     * have been part of: so it is told each term that was held. What it granted itself is over one
     * lease later.
     */
    private void terms(long nowUs, String from, long term) {
        if (votes || !settings.voters().contains(from)) {
            return;
        }
        recalled.merge(from, term, Math::max);
        if (recalled.size() > settings.voters().size() / 2 && votesFromUs == Long.MAX_VALUE) {
            votesFromUs = boundAfterStartUs(nowUs);
        }
        if (nowUs >= votesFromUs) {
            begin(recalled.values().stream().mapToLong(Long::longValue).max().orElseThrow());
        }
    }

    private long greatest() {
        return Math.max(
                floor, leases.values().stream().mapToLong(l -> l.promise.term()).max().orElse(0));
    }

    /** Answers a candidate or another voter; null where there is nothing to say. */
    public DutyMessage hear(long nowUs, String from, DutyMessage message) {
        if (message.epoch() != settings.epoch()) {
            return null;
        }
        if (!votes) {
            if (message.kind() == DutyMessage.Kind.TERMS) {
                terms(nowUs, from, message.term());
            }
            return null;
        }
        return switch (message.kind()) {
            case REQUEST -> message.term() < 1 ? null : request(nowUs, message);
            case RECALL -> message.answer(DutyMessage.Kind.TERMS, greatest(), 0);
            case RELEASE -> {
                release(message);
                yield null;
            }
            default -> null;
        };
    }

    private DutyMessage request(long nowUs, DutyMessage asked) {
        Lease lease = leases.get(asked.duty());
        if (lease != null) {
            Promise promised = lease.promise;
            boolean renewal =
                    promised.term() == asked.term() && promised.holder().equals(asked.holder());
            if (renewal) {
                if (lease.released) {
                    return asked.answer(DutyMessage.Kind.REFUSAL, promised.term(), 0);
                }
                lease.untilUs = Math.max(lease.untilUs, nowUs + settings.leaseUs());
                return asked.answer(DutyMessage.Kind.GRANT, asked.term(), 0);
            }
            boolean bound = !lease.released && nowUs < lease.untilUs;
            if (bound || !isNewer(asked.term(), promised)) {
                return asked.answer(
                        DutyMessage.Kind.REFUSAL,
                        promised.term(),
                        bound ? lease.untilUs - nowUs : 0);
            }
        }
        if (asked.term() <= floor) {
            return asked.answer(DutyMessage.Kind.REFUSAL, floor, 0);
        }
        Promise promise = new Promise(asked.duty(), asked.term(), asked.holder());
        if (!keep(promise)) {
            return null;
        }
        leases.put(asked.duty(), new Lease(promise, nowUs + settings.leaseUs()));
        return asked.answer(DutyMessage.Kind.GRANT, asked.term(), 0);
    }

    private void release(DutyMessage message) {
        Lease lease = leases.get(message.duty());
        if (lease != null
                && lease.promise.term() == message.term()
                && lease.promise.holder().equals(message.holder())) {
            lease.released = true;
        }
    }

    /** What is promised of a duty, or null. */
    public Promise promised(String duty) {
        Lease lease = leases.get(duty);
        return lease == null ? null : lease.promise;
    }

    /** Whether the holder that was promised has given the duty back. */
    public boolean released(String duty) {
        Lease lease = leases.get(duty);
        return lease != null && lease.released;
    }

    /** So long it is bound to that holder, in microseconds; 0 where it is free. */
    public long boundForUs(long nowUs, String duty) {
        Lease lease = leases.get(duty);
        return lease == null || lease.released ? 0 : Math.max(0, lease.untilUs - nowUs);
    }
}
