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
    private static final String PLACEHOLDER = "-";

    private final DutySettings settings;
    private final Predicate<Promise> disk;
    private final Map<String, Lease> leases = new HashMap<>();

    /** What the others told of their terms, while it does not vote. */
    private final Map<String, Long> reportedTerms = new HashMap<>();

    private boolean voting;
    private long floorTerm;
    private long votingFromUs = Long.MAX_VALUE;

    /**
     * A voter that starts. Without {@link Promise#votingMarker} on its disk it has forgotten, or
     * never voted: it says nothing until it was founded, or has heard from the others what may have
     * been granted.
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
            if (promise.isVotingMarker()) {
                voting = true;
                floorTerm = promise.term();
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
    protected boolean persist(Promise promise) {
        return disk.test(promise);
    }

    /**
     * Begins to vote without a memory. Only for voters that never voted: an operator says so, once,
     * when the first set of voters is founded.
     *
     * @return false where it votes already, or its disk fails
     */
    public boolean initialize() {
        return !voting && startVoting(0);
    }

    private boolean startVoting(long newFloor) {
        if (!persist(Promise.votingMarker(newFloor))) {
            return false;
        }
        floorTerm = newFloor;
        voting = true;
        return true;
    }

    /** Whether it votes. */
    public boolean isVoting() {
        return voting;
    }

    /** What to send to all other voters now and then as long as it does not vote. */
    public DutyMessage recall() {
        return new DutyMessage(
                DutyMessage.Kind.RECALL, settings.epoch(), PLACEHOLDER, 1, 0, PLACEHOLDER, 0);
    }

    /**
     * More than half of all voters, itself not counted, share one with every majority that it may
     * have been part of: so it is told each term that was held. What it granted itself is over one
     * lease later.
     */
    private void onTerms(long nowUs, String from, long term) {
        if (voting || !settings.voters().contains(from)) {
            return;
        }
        reportedTerms.merge(from, term, Math::max);
        if (reportedTerms.size() > settings.voters().size() / 2 && votingFromUs == Long.MAX_VALUE) {
            votingFromUs = boundAfterStartUs(nowUs);
        }
        if (nowUs >= votingFromUs) {
            startVoting(
                    reportedTerms.values().stream().mapToLong(Long::longValue).max().orElseThrow());
        }
    }

    private long maxTerm() {
        return Math.max(
                floorTerm,
                leases.values().stream().mapToLong(l -> l.promise.term()).max().orElse(0));
    }

    /** Answers a candidate or another voter; null where there is nothing to say. */
    public DutyMessage onMessage(long nowUs, String from, DutyMessage message) {
        if (message.epoch() != settings.epoch()) {
            return null;
        }
        if (!voting) {
            if (message.kind() == DutyMessage.Kind.TERMS) {
                onTerms(nowUs, from, message.term());
            }
            return null;
        }
        return switch (message.kind()) {
            case REQUEST -> message.term() < 1 ? null : onRequest(nowUs, message);
            case RECALL -> message.reply(DutyMessage.Kind.TERMS, maxTerm(), 0);
            case RELEASE -> {
                onRelease(message);
                yield null;
            }
            default -> null;
        };
    }

    private DutyMessage onRequest(long nowUs, DutyMessage request) {
        Lease lease = leases.get(request.duty());
        if (lease != null) {
            Promise promised = lease.promise;
            boolean renewal =
                    promised.term() == request.term() && promised.holder().equals(request.holder());
            if (renewal) {
                if (lease.released) {
                    return request.reply(DutyMessage.Kind.REFUSAL, promised.term(), 0);
                }
                lease.untilUs = Math.max(lease.untilUs, nowUs + settings.leaseUs());
                return request.reply(DutyMessage.Kind.GRANT, request.term(), 0);
            }
            boolean bound = !lease.released && nowUs < lease.untilUs;
            if (bound || !isNewer(request.term(), promised)) {
                return request.reply(
                        DutyMessage.Kind.REFUSAL,
                        promised.term(),
                        bound ? lease.untilUs - nowUs : 0);
            }
        }
        if (request.term() <= floorTerm) {
            return request.reply(DutyMessage.Kind.REFUSAL, floorTerm, 0);
        }
        Promise promise = new Promise(request.duty(), request.term(), request.holder());
        if (!persist(promise)) {
            return null;
        }
        leases.put(request.duty(), new Lease(promise, nowUs + settings.leaseUs()));
        return request.reply(DutyMessage.Kind.GRANT, request.term(), 0);
    }

    private void onRelease(DutyMessage message) {
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
