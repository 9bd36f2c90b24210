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
 * Three voters and two candidates of one duty, with every message that is under way: one state of
 * the model checker, reached by a row of steps. All clocks are one here; time moves by half a lease
 * a step.
 */
final class DutyModel {

    static final int VOTERS = 3;
    static final int CANDIDATES = 2;
    private static final String DUTY = "d";
    private static final long LEASE_US = 1_024;
    private static final long TICK_US = LEASE_US / 2;
    private static final List<String> SENDER_NAMES = List.of("v0", "v1", "v2", "x");
    private static final List<String> CANDIDATE_NAMES = List.of("c0", "c1");

    /** Not a voter: a holder that is gone. */
    private static final int FORMER_HOLDER = 3;

    private static final DutySettings SETTINGS =
            new DutySettings(SENDER_NAMES.subList(0, VOTERS), 1, LEASE_US, 0);

    /** Always the shortest: every other wait is a step of the checker's. */
    private static final RandomGenerator ZERO_RANDOM = () -> 0;

    private static final int FIRST_TIMER_STEP = 1;
    private static final int FIRST_VOTER_CRASH_STEP = FIRST_TIMER_STEP + CANDIDATES;
    private static final int FIRST_CANDIDATE_CRASH_STEP = FIRST_VOTER_CRASH_STEP + VOTERS;
    private static final int FIRST_DELIVERY_STEP = FIRST_CANDIDATE_CRASH_STEP + CANDIDATES;

    /**
     * How often things happen at most in one row of steps.
     *
     * @param depth steps
     * @param ticks half leases
     * @param crashes of voters and candidates
     * @param copies messages that arrive and still are under way
     */
    record Bounds(int depth, int ticks, int crashes, int copies) {}

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

    DutyModel(StateMachineFactory parts, Bounds bounds) {
        this.factory = parts;
        this.bounds = bounds;
        for (int i = 0; i < VOTERS; i++) {
            startVoter(i);
            voters[i].initialize();
        }
        for (int i = 0; i < CANDIDATES; i++) {
            startCandidate(i);
        }
        // The last word of an earlier holder, that it has given up; it may come at any time, or
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
                            public void granted(long term) {
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
                            public void lost(long term) {}
                        });
        candidates[candidate].campaign(nowUs);
    }

    private String holder(int candidate) {
        return candidate + ":" + incarnations[candidate];
    }

    /** Steps are numbers from 0 to below this. */
    int stepCount() {
        return FIRST_DELIVERY_STEP + 2 * inFlight.size();
    }

    /** Takes a step; false where it changes nothing or is out of bounds. */
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
            boolean granted = voters[step - FIRST_VOTER_CRASH_STEP].promised(DUTY) != null;
            startVoter(step - FIRST_VOTER_CRASH_STEP);
            return granted && ++crashes <= bounds.crashes();
        } else if (step < FIRST_DELIVERY_STEP) {
            startCandidate(step - FIRST_CANDIDATE_CRASH_STEP);
            return ++crashes <= bounds.crashes();
        } else {
            int index = (step - FIRST_DELIVERY_STEP) / 2;
            Envelope sent = inFlight.get(index);
            if ((step - FIRST_DELIVERY_STEP) % 2 == 0) {
                inFlight.remove(index);
            } else if (++copies > bounds.copies()) {
                return false;
            }
            deliver(sent);
        }
        long acting = Arrays.stream(candidates).filter(c -> c.mayAct(nowUs)).count();
        if (acting > 1) {
            violation = "two act: " + Arrays.toString(candidates);
        }
        return true;
    }

    private void deliver(Envelope sent) {
        if (!sent.toVoter()) {
            candidates[sent.to()].onMessage(nowUs, SENDER_NAMES.get(sent.from()), sent.message());
            return;
        }
        DutyMessage answer =
                voters[sent.to()].onMessage(
                        nowUs, CANDIDATE_NAMES.get(sent.from()), sent.message());
        if (answer != null) {
            inFlight.add(new Envelope(sent.to(), sent.from(), false, answer));
        }
    }

    /** What does not hold, or null. */
    String violation() {
        return violation;
    }

    /**
     * The same for states that differ only in which voter is which, and which candidate is which.
     */
    String signature() {
        String one = signature(new int[] {0, 1});
        String other = signature(new int[] {1, 0});
        return one.compareTo(other) < 0 ? one : other;
    }

    private String signature(int[] order) {
        String[] byVoter = new String[VOTERS];
        for (int v = 0; v < VOTERS; v++) {
            StringBuilder text = new StringBuilder();
            Promise promise = voters[v].promised(DUTY);
            if (promise != null) {
                text.append(promise.term())
                        .append(canonicalHolder(promise.holder(), order))
                        .append('/')
                        .append(voters[v].boundForUs(nowUs, DUTY))
                        .append(voters[v].released(DUTY) ? 'r' : '-');
            }
            Promise kept = disks.get(v).get(DUTY);
            if (kept != null && !kept.equals(promise)) {
                text.append('!').append(kept.term()).append(canonicalHolder(kept.holder(), order));
            }
            List<String> messages = new ArrayList<>();
            for (Envelope sent : inFlight) {
                if ((sent.toVoter() ? sent.to() : sent.from()) == v) {
                    DutyMessage m = sent.message();
                    messages.add(
                            m.kind().ordinal()
                                    + ","
                                    + m.term()
                                    + ","
                                    + m.round()
                                    + ","
                                    + canonicalHolder(m.holder(), order)
                                    + ","
                                    + m.waitUs());
                }
            }
            messages.sort(null);
            byVoter[v] = text.append(messages).append(replies(v, order)).toString();
        }
        Arrays.sort(byVoter);
        StringBuilder whole = new StringBuilder(String.join("|", byVoter));
        inFlight.stream()
                .filter(s -> s.from() == FORMER_HOLDER && !s.toVoter())
                .forEach(s -> whole.append("|take").append(order[0] == s.to() ? 0 : 1));
        for (int i : order) {
            Candidate c = candidates[i];
            whole.append('|')
                    .append(c)
                    .append(
                            c.wakeAtUs() == Long.MAX_VALUE
                                    ? "-"
                                    : Math.max(-1, c.wakeAtUs() - nowUs))
                    .append('/')
                    .append(c.remainingUs(nowUs))
                    .append('/')
                    .append(Math.max(-2 * LEASE_US, c.requestedUs() - nowUs))
                    .append('/')
                    .append(incarnations[i]);
        }
        return whole.append('|')
                .append(ticks)
                .append(crashes)
                .append(copies)
                .append(maxGrantedTerm)
                .toString();
    }

    private String replies(int voter, int[] order) {
        StringBuilder text = new StringBuilder();
        for (int i : order) {
            text.append(candidates[i].replyOf(SENDER_NAMES.get(voter)));
        }
        return text.toString();
    }

    private static String canonicalHolder(String holder, int[] order) {
        int candidate = holder.charAt(0) - '0';
        return (order[0] == candidate ? 0 : 1) + holder.substring(1);
    }
}
