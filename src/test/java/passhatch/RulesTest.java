package passhatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.DedupGroup;
import passhatch.Balancer.Effect;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/** Checks random events from fixed seeds against the rules for a single copy. */
class RulesTest {

    private static final long MS = Proxy.MS;
    private static final int SERVER_COUNT = 8;
    private static final int RESTRICTED = 4;
    private static final int STEPS = 3_000;

    /** How long a client waits. */
    private static final long CLIENT_TIMEOUT_MS = 1_000;

    private static final int MAX_STEP_MS = 40;

    /** An attempt that the module has sent. */
    private record Sent(String request, int number, String server, long atUs) {}

    /** One run of random events that checks the rules at every new action. */
    private static final class Run {
        final Random random;
        final Proxy proxy;
        final boolean[] up = new boolean[SERVER_COUNT];
        final boolean[] draining = new boolean[SERVER_COUNT];
        final Map<String, Integer> classes = new HashMap<>();
        final Map<String, Long> arrivedAtUs = new HashMap<>();
        final Map<String, Integer> finalAnswers = new HashMap<>();

        /** The attempts of each request that may have run. */
        final Map<String, List<Sent>> possiblyRun = new HashMap<>();

        final Map<String, Integer> attemptCounts = new HashMap<>();
        final List<Sent> outstanding = new ArrayList<>();
        int checkedActions;
        int sends;
        int repeats;

        Run(long seed) {
            random = new Random(seed);
            Proxy.Setup setup = new Proxy.Setup();
            setup.closeWithinUs = 500 * MS;
            setup.keepaliveUs = 10_000 * MS;
            setup.probes = random.nextBoolean();
            setup.retryAfterUs = random.nextBoolean() ? 1_000 * MS : 0;
            setup.extraClasses =
                    List.of(
                            new RequestClass(
                                    "restricted",
                                    400 * MS,
                                    1_000 * MS,
                                    2,
                                    0,
                                    Effect.SAFE,
                                    DedupGroup.ALL,
                                    0,
                                    Set.of(1),
                                    null));
            proxy = new Proxy(setup, seed);
            List<Server> list = new ArrayList<>();
            for (int i = 0; i < SERVER_COUNT; i++) {
                up[i] = true;
                list.add(server(i, ServerStatus.UP));
            }
            proxy.startWith(list);
        }

        private static Server server(int i, ServerStatus status) {
            return new Server("s" + i, 0, zone("s" + i), 0, status);
        }

        private static int zone(String id) {
            return Integer.parseInt(id.substring(1)) % 2;
        }

        void step() {
            int event = random.nextInt(10);
            if (event < 4) {
                int requestClass = random.nextInt(RESTRICTED + 1);
                // The request is registered before the actions that it causes are checked.
                String next = "r" + classes.size();
                classes.put(next, requestClass);
                arrivedAtUs.put(next, proxy.nowUs);
                assertEquals(next, proxy.request(requestClass));
            } else if (event < 8 && !outstanding.isEmpty()) {
                endAttempt(
                        outstanding.get(random.nextInt(outstanding.size())),
                        Outcome.values()[random.nextInt(6)]);
            } else if (event == 8) {
                changeServer();
            } else {
                proxy.reportAllIdle();
                advance(1 + random.nextInt(MAX_STEP_MS));
            }
            checkActions();
        }

        private void changeServer() {
            int i = random.nextInt(SERVER_COUNT);
            ServerStatus[] all = ServerStatus.values();
            ServerStatus status =
                    random.nextInt(3) > 0 ? ServerStatus.UP : all[random.nextInt(all.length)];
            up[i] = status == ServerStatus.UP;
            draining[i] = status == ServerStatus.DRAINING;
            int from = proxy.actions.size();
            proxy.balancer.serversChanged(
                    proxy.nowUs, ListKind.CHANGES, List.of(server(i, status)));
            assertEquals(
                    draining[i],
                    proxy.actions.subList(from, proxy.actions.size()).contains("close s" + i));
        }

        private void endAttempt(Sent sent, Outcome outcome) {
            outstanding.remove(sent);
            boolean ended = finalAnswers.containsKey(sent.request) || outcome == Outcome.OK;
            if (outcome == Outcome.OK) {
                finalAnswers.merge(sent.request, 1, Integer::sum);
            }
            if (!outcome.provesNotRun) {
                possiblyRun.computeIfAbsent(sent.request, r -> new ArrayList<>()).add(sent);
            }
            int from = proxy.actions.size();
            proxy.balancer.outcome(
                    proxy.nowUs,
                    sent.request,
                    sent.number,
                    sent.server,
                    outcome,
                    proxy.nowUs - sent.atUs,
                    ended,
                    null);
            if (draining[Integer.parseInt(sent.server.substring(1))]) {
                assertTrue(
                        proxy.actions
                                .subList(from, proxy.actions.size())
                                .contains("close " + sent.server));
            }
        }

        void advance(int ms) {
            proxy.advance(ms);
            checkActions();
            for (Sent sent : List.copyOf(outstanding)) {
                if (proxy.nowUs >= arrivedAtUs.get(sent.request) + CLIENT_TIMEOUT_MS * MS) {
                    endAttempt(sent, Outcome.TIMEOUT);
                }
            }
            checkActions();
            for (Map.Entry<String, Long> arrival : arrivedAtUs.entrySet()) {
                boolean late =
                        proxy.nowUs > arrival.getValue() + (CLIENT_TIMEOUT_MS + MAX_STEP_MS) * MS;
                assertTrue(
                        !late || finalAnswers.getOrDefault(arrival.getKey(), 0) == 1,
                        "no answer: " + arrival.getKey());
            }
        }

        /** Checks the actions since the last check. */
        private void checkActions() {
            while (checkedActions < proxy.actions.size()) {
                String[] words = proxy.actions.get(checkedActions++).split(" ");
                switch (words[0]) {
                    case "send" -> checkSend(words[1], words[2]);
                    case "refuse" -> {
                        checkNotAnswered(words[1]);
                        boolean keyed = classes.get(words[1]) == Proxy.KEYED;
                        boolean safe =
                                classes.get(words[1]) == Proxy.SAFE
                                        || classes.get(words[1]) == RESTRICTED;
                        assertTrue(
                                safe || keyed || !possiblyRun.containsKey(words[1]),
                                "refused although it may have run");
                        finalAnswers.merge(words[1], 1, Integer::sum);
                    }
                    case "fail" -> {
                        checkNotAnswered(words[1]);
                        finalAnswers.merge(words[1], 1, Integer::sum);
                    }
                    default -> {}
                }
            }
        }

        private void checkNotAnswered(String request) {
            assertFalse(
                    finalAnswers.containsKey(request), "action after its final answer: " + request);
        }

        private void checkSend(String request, String server) {
            checkNotAnswered(request);
            assertTrue(
                    up[Integer.parseInt(server.substring(1))],
                    "sent to a server that drains or is gone");
            assertTrue(
                    outstanding.stream().noneMatch(s -> s.request.equals(request)),
                    "two attempts at once");
            int requestClass = classes.get(request);
            assertTrue(requestClass != RESTRICTED || zone(server) == 1, "sent outside its zones");
            for (Sent before : possiblyRun.getOrDefault(request, List.of())) {
                assertTrue(requestClass != Proxy.UNSAFE, "unsafe request retried");
                assertTrue(
                        requestClass != Proxy.KEYED_IN_ZONE || zone(server) == zone(before.server),
                        "retried in another group");
                boolean keyed = requestClass == Proxy.KEYED || requestClass == Proxy.KEYED_IN_ZONE;
                assertTrue(
                        !keyed || proxy.nowUs - before.atUs < 600 * MS, "retried after its window");
                repeats++;
            }
            int number = attemptCounts.merge(request, 1, Integer::sum) - 1;
            outstanding.add(new Sent(request, number, server, proxy.nowUs));
            sends++;
        }
    }

    private static Run run(long seed) {
        Run run = new Run(seed);
        for (int i = 0; i < STEPS; i++) {
            run.step();
        }
        for (int i = 0; i < 2 * CLIENT_TIMEOUT_MS / MAX_STEP_MS; i++) {
            run.advance(MAX_STEP_MS);
        }
        return run;
    }

    @Test
    void randomEventsBreakNoRule() {
        for (long seed = 0; seed < 20; seed++) {
            Run run = run(seed);
            assertEquals(run.classes.size(), run.finalAnswers.size());
            assertTrue(run.finalAnswers.values().stream().allMatch(n -> n == 1), "answered twice");
            assertTrue(
                    run.sends > 500 && run.repeats > 10,
                    run.sends + " sends, " + run.repeats + " retries");
        }
    }

    @Test
    void sameEventsGiveTheSameActions() {
        for (long seed = 0; seed < 5; seed++) {
            assertEquals(run(seed).proxy.actions, run(seed).proxy.actions);
        }
    }
}
