package passhatch.lab.duty;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import passhatch.duty.Candidate;
import passhatch.duty.DutyActions;
import passhatch.duty.DutyMessage;
import passhatch.duty.DutySettings;
import passhatch.duty.Promise;
import passhatch.duty.Voter;

/**
 * A state that the model checker explores: three voters and two candidates of one duty, with all
 * messages in flight. A sequence of steps leads to this state. All processes share one clock, which
 * advances by half a lease in a step.
 */
final class DutyModel {

    static final int VOTERS = 3;
    static final int CANDIDATES = 2;
    private static final String DUTY = "d";
    private static final long LEASE_US = 1_024;
    private static final long TICK_US = LEASE_US / 2;
    private static final List<String> SENDER_NAMES = List.of("v0", "v1", "v2", "x");
    private static final List<String> CANDIDATE_NAMES = List.of("c0", "c1");

    /** Index of a sender that is not a voter: a former holder that has stopped. */
    private static final int FORMER_HOLDER = 3;

    private static final DutySettings SETTINGS =
            new DutySettings(SENDER_NAMES.subList(0, VOTERS), 1, LEASE_US, 0);

    /**
     * Makes each candidate draw the shortest wait; longer waits result from the steps of the
     * checker.
     */
    private static final RandomGenerator ZERO_RANDOM = () -> 0;

    // Step 0 advances the clock. Each constant is the number of the first step of another type.
    private static final int FIRST_TIMER_STEP = 1;
    private static final int FIRST_VOTER_CRASH_STEP = FIRST_TIMER_STEP + CANDIDATES;
    private static final int FIRST_CANDIDATE_CRASH_STEP = FIRST_VOTER_CRASH_STEP + VOTERS;
    private static final int FIRST_DELIVERY_STEP = FIRST_CANDIDATE_CRASH_STEP + CANDIDATES;

    /**
     * Bounds on one sequence of steps.
     *
     * @param depth maximum number of steps
     * @param ticks maximum number of half leases that pass
     * @param crashes maximum number of crashes of voters and candidates
     * @param copies maximum number of deliveries after which the message stays in flight and may
     *     arrive again
     */
    record Bounds(int depth, int ticks, int crashes, int copies) {}

    /** A message in flight between a voter, or the former holder, and a candidate. */
    private record Envelope(int from, int to, boolean toVoter, DutyMessage message) {}

    private final StateMachineFactory factory;
    private final Bounds bounds;
    private final Voter[] voters = new Voter[VOTERS];
    private final List<Map<String, Promise>> disks =
            Stream.generate(() -> (Map<String, Promise>) new HashMap<String, Promise>())
                    .limit(VOTERS)
                    .toList();
    private final Candidate[] candidates = new Candidate[CANDIDATES];
    private final int[] incarnations = new int[CANDIDATES];
    private final List<Envelope> inFlight = new ArrayList<>();
    private long nowUs = LEASE_US;
    private int ticks;
    private int crashes;
    private int copies;
    private long maxGrantedTerm;
    private String violation;

    DutyModel(StateMachineFactory factory, Bounds bounds) {
        this.factory = factory;
        this.bounds = bounds;
        for (int i = 0; i < VOTERS; i++) {
            startVoter(i);
            voters[i].initialize();
        }
        for (int i = 0; i < CANDIDATES; i++) {
            startCandidate(i);
        }
        // The last message of a former holder gives the duty up. It may arrive at any time or
        // never.
        inFlight.add(
                new Envelope(
                        FORMER_HOLDER,
                        1,
                        false,
                        new DutyMessage(DutyMessage.Kind.TAKE, 1, DUTY, 1, 0, "x", 0)));
        nowUs += TICK_US;
    }

    private void startVoter(int voter) {
        voters[voter] =
                factory.createVoter(
                        SETTINGS,
                        nowUs,
                        disks.get(voter).values(),
                        promise -> {
                            disks.get(voter).put(promise.duty(), promise);
                            return true;
                        });
    }

    private void startCandidate(int candidate) {
        incarnations[candidate]++;
        candidates[candidate] =
                factory.createCandidate(
                        SETTINGS,
                        DUTY,
                        holder(candidate),
                        ZERO_RANDOM,
                        new DutyActions() {
                            @Override
                            public void send(String to, DutyMessage message) {
                                inFlight.add(
                                        new Envelope(
                                                candidate,
                                                SENDER_NAMES.indexOf(to),
                                                true,
                                                message));
                            }

                            @Override
                            public void dutyAcquired(long term) {
                                if (term <= maxGrantedTerm) {
                                    violation =
                                            "term "
                                                    + term
                                                    + " was granted after term "
                                                    + maxGrantedTerm;
                                }
                                maxGrantedTerm = Math.max(maxGrantedTerm, term);
                            }

                            @Override
                            public void dutyLost(long term) {}
                        });
        candidates[candidate].campaign(nowUs);
    }

    private String holder(int candidate) {
        return candidate + ":" + incarnations[candidate];
    }

    /** Returns the number of steps that are possible now; they are numbered from 0. */
    int stepCount() {
        return FIRST_DELIVERY_STEP + 2 * inFlight.size();
    }

    /**
     * Takes the step with the given number. Returns false if the step need not be explored further:
     * the step is not due, or it has no effect, or it exceeds a bound.
     */
    boolean step(int step) {
        if (step < FIRST_TIMER_STEP) {
            nowUs += TICK_US;
            return ++ticks <= bounds.ticks();
        } else if (step < FIRST_VOTER_CRASH_STEP) {
            Candidate candidate = candidates[step - FIRST_TIMER_STEP];
            if (nowUs < candidate.wakeAtUs()) {
                return false;
            }
            candidate.timer(nowUs);
        } else if (step < FIRST_CANDIDATE_CRASH_STEP) {
            boolean granted = voters[step - FIRST_VOTER_CRASH_STEP].promiseFor(DUTY) != null;
            startVoter(step - FIRST_VOTER_CRASH_STEP);
            return granted && ++crashes <= bounds.crashes();
        } else if (step < FIRST_DELIVERY_STEP) {
            startCandidate(step - FIRST_CANDIDATE_CRASH_STEP);
            return ++crashes <= bounds.crashes();
        } else {
            int index = (step - FIRST_DELIVERY_STEP) / 2;
            Envelope envelope = inFlight.get(index);
            if ((step - FIRST_DELIVERY_STEP) % 2 == 0) {
                inFlight.remove(index);
            } else if (++copies > bounds.copies()) {
                return false;
            }
            deliver(envelope);
        }
        long acting = Arrays.stream(candidates).filter(c -> c.mayAct(nowUs)).count();
        if (acting > 1) {
            violation = "two candidates may act: " + Arrays.toString(candidates);
        }
        return true;
    }

    private void deliver(Envelope envelope) {
        if (!envelope.toVoter()) {
            candidates[envelope.to()].onMessage(
                    nowUs, SENDER_NAMES.get(envelope.from()), envelope.message());
            return;
        }
        DutyMessage reply =
                voters[envelope.to()].onMessage(
                        nowUs, CANDIDATE_NAMES.get(envelope.from()), envelope.message());
        if (reply != null) {
            inFlight.add(new Envelope(envelope.to(), envelope.from(), false, reply));
        }
    }

    /** Returns a description of the property that was violated, or null if there is none. */
    String violation() {
        return violation;
    }

    /**
     * Returns a text that identifies the state. States that become equal when voters or candidates
     * are exchanged with each other have the same text.
     */
    String signature() {
        String inOrder = signature(new int[] {0, 1});
        String swapped = signature(new int[] {1, 0});
        return inOrder.compareTo(swapped) < 0 ? inOrder : swapped;
    }

    private String signature(int[] order) {
        String[] byVoter = new String[VOTERS];
        for (int voter = 0; voter < VOTERS; voter++) {
            StringBuilder text = new StringBuilder();
            Promise promise = voters[voter].promiseFor(DUTY);
            if (promise != null) {
                text.append(promise.term())
                        .append(canonicalHolder(promise.holder(), order))
                        .append('/')
                        .append(voters[voter].boundForUs(nowUs, DUTY))
                        .append(voters[voter].isReleased(DUTY) ? 'r' : '-');
            }
            Promise onDisk = disks.get(voter).get(DUTY);
            if (onDisk != null && !onDisk.equals(promise)) {
                text.append('!')
                        .append(onDisk.term())
                        .append(canonicalHolder(onDisk.holder(), order));
            }
            List<String> messages = new ArrayList<>();
            for (Envelope envelope : inFlight) {
                if ((envelope.toVoter() ? envelope.to() : envelope.from()) == voter) {
                    DutyMessage message = envelope.message();
                    messages.add(
                            message.kind().ordinal()
                                    + ","
                                    + message.term()
                                    + ","
                                    + message.round()
                                    + ","
                                    + canonicalHolder(message.holder(), order)
                                    + ","
                                    + message.waitUs());
                }
            }
            messages.sort(null);
            byVoter[voter] = text.append(messages).append(formatReplies(voter, order)).toString();
        }
        Arrays.sort(byVoter);
        StringBuilder signature = new StringBuilder(String.join("|", byVoter));
        inFlight.stream()
                .filter(s -> s.from() == FORMER_HOLDER && !s.toVoter())
                .forEach(s -> signature.append("|take").append(order[0] == s.to() ? 0 : 1));
        for (int i : order) {
            Candidate candidate = candidates[i];
            signature
                    .append('|')
                    .append(candidate)
                    .append(
                            candidate.wakeAtUs() == Long.MAX_VALUE
                                    ? "-"
                                    : Math.max(-1, candidate.wakeAtUs() - nowUs))
                    .append('/')
                    .append(candidate.remainingLeaseUs(nowUs))
                    .append('/')
                    .append(Math.max(-2 * LEASE_US, candidate.lastRequestUs() - nowUs))
                    .append('/')
                    .append(incarnations[i]);
        }
        return signature
                .append('|')
                .append(ticks)
                .append(crashes)
                .append(copies)
                .append(maxGrantedTerm)
                .toString();
    }

    /** Formats the replies of a voter to the last request of each candidate. */
    private String formatReplies(int voter, int[] order) {
        StringBuilder text = new StringBuilder();
        for (int i : order) {
            text.append(candidates[i].lastReplyOf(SENDER_NAMES.get(voter)));
        }
        return text.toString();
    }

    /** Replaces the candidate's number in the name of a holder by its index in the given order. */
    private static String canonicalHolder(String holder, int[] order) {
        int candidate = holder.charAt(0) - '0';
        return (order[0] == candidate ? 0 : 1) + holder.substring(1);
    }
}
