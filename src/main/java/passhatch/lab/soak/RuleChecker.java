package passhatch.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Judges the records of a run by the operators' rules on requests. */
final class RuleChecker {

    /** A response may come this much later than the client's time allows. */
    private static final long MAX_LATE_NS = TimeUnit.MILLISECONDS.toNanos(500);

    /** An attempt may begin this much later than its client left. */
    private static final long MAX_AFTER_LEAVING_NS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The rules that are checked. */
    enum Rule {
        ANSWERED_IN_TIME,
        NO_ATTEMPT_AFTER_LEAVING,
        UNSAFE_RUNS_ONCE,
        BODY_UNCHANGED
    }

    /** A request that breaks a rule. */
    record Violation(Rule rule, String requestId, String detail) {}

    private final Map<String, List<BackendAttempt>> attemptsById;
    private final List<Violation> violations = new ArrayList<>();

    private RuleChecker(Records records) {
        this.attemptsById =
                records.attempts.stream().collect(Collectors.groupingBy(BackendAttempt::id));
    }

    /** Returns every breach of a rule that the records show. */
    static List<Violation> check(Records records) {
        RuleChecker checker = new RuleChecker(records);
        records.requests.forEach(checker::checkAnswer);
        records.requests.stream()
                .collect(Collectors.groupingBy(request -> request.id))
                .forEach(checker::checkAttempts);
        return checker.violations;
    }

    private void checkAnswer(ClientRequest request) {
        if (request.resentNs != 0
                && attemptsById.getOrDefault(request.id, List.of()).stream()
                        .anyMatch(attempt -> attempt.firstByteNs() < request.resentNs)) {
            add(Rule.ANSWERED_IN_TIME, request.id, "closed after it was sent on");
        }
        if (request.sentNs == 0 || request.leftNs != 0) {
            return;
        }
        long dueNs = request.sentNs + TimeUnit.MILLISECONDS.toNanos(request.timeoutMs);
        if (request.answeredNs == 0 && !(request.connectionLost && request.status != 0)) {
            add(Rule.ANSWERED_IN_TIME, request.id, "no answer");
        } else if (request.answeredNs > dueNs + MAX_LATE_NS && !request.streamed) {
            add(
                    Rule.ANSWERED_IN_TIME,
                    request.id,
                    "late by " + toMs(request.answeredNs - dueNs) + " ms");
        }
        if (request.status == 200 && request.answeredNs != 0 && !request.bodyIntact) {
            add(Rule.BODY_UNCHANGED, request.id, "another body than the backend's");
        }
    }

    private void checkAttempts(String id, List<ClientRequest> sameId) {
        List<BackendAttempt> attempts = attemptsById.getOrDefault(id, List.of());
        long runs = attempts.stream().filter(attempt -> attempt.wholeNs() != 0).count();
        if (sameId.get(0).kind == RequestKind.NOTICE && runs > 1) {
            add(Rule.UNSAFE_RUNS_ONCE, id, runs + " runs");
        }
        long lastLeftNs = sameId.stream().mapToLong(request -> request.leftNs).max().orElse(0);
        if (sameId.stream().allMatch(request -> request.leftNs != 0)) {
            attempts.stream()
                    .mapToLong(attempt -> attempt.firstByteNs() - lastLeftNs)
                    .filter(afterNs -> afterNs > MAX_AFTER_LEAVING_NS)
                    .forEach(
                            afterNs ->
                                    add(
                                            Rule.NO_ATTEMPT_AFTER_LEAVING,
                                            id,
                                            "begun " + toMs(afterNs) + " ms after"));
        }
    }

    private void add(Rule rule, String id, String detail) {
        violations.add(new Violation(rule, id, detail));
    }

    private static long toMs(long ns) {
        return TimeUnit.NANOSECONDS.toMillis(ns);
    }
}
