package passhatch.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import passhatch.Balancer.ListFreshness;

/** What the watch makes of what discovery says, with time set by hand. */
final class ListWatchTest {

    private static final long MS = 1_000;
    private static final long S = 1_000 * MS;
    private static final EndpointList KNOWN = new EndpointList(7, true, List.of());

    private final List<String> called = new ArrayList<>();
    private final List<Long> hungUp = new ArrayList<>();
    private final List<EndpointList> listed = new ArrayList<>();
    private final List<ListFreshness> currencies = new ArrayList<>();
    private final List<Long> pending = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private int lost;
    private int turnedAway;
    private long now = 100 * S;
    private long call;

    private final ListWatch watch =
            new ListWatch(
                    new ListWatch.Source(
                            new InetSocketAddress(0),
                            KNOWN,
                            true,
                            List.of("a"),
                            List.of("m"),
                            750 * MS),
                    1,
                    new Carrier(),
                    new Heard(),
                    log::add);

    private final class Carrier implements ListWatch.Carrier {
        @Override
        public void call(long number, InetSocketAddress address, String path) {
            call = number;
            called.add(path);
        }

        @Override
        public void hangUp(long number) {
            hungUp.add(number);
            watch.closed(now, number);
        }

        @Override
        public void wakeAt(long atUs) {}
    }

    private final class Heard implements ListWatch.Listener {
        @Override
        public void listed(EndpointList list, ListFreshness currency) {
            listed.add(list);
            currencies.add(currency);
        }

        @Override
        public void unchanged(ListFreshness currency) {
            currencies.add(currency);
        }

        @Override
        public void pending(long sinceUs) {
            pending.add(sinceUs);
        }

        @Override
        public void lost() {
            lost++;
        }

        @Override
        public void reached() {}

        @Override
        public void turnedAway() {
            turnedAway++;
        }

        @Override
        public void moved() {}
    }

    private void begin() {
        watch.watch(now);
        watch.connected(call);
        watch.answered(now, call, 200);
    }

    private void say(String line) {
        say(line, now);
    }

    private void say(String line, long arrivedUs) {
        watch.body(now, arrivedUs, call, bytes(line));
    }

    private static ByteBuf bytes(String line) {
        return Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8);
    }

    private static String message(int index, boolean whole, String... entries) {
        return "{\"index\":%d,\"snapshot\":%b,\"endpoints\":[%s]}"
                .formatted(index, whole, String.join(",", entries));
    }

    private static String entry(String name, String status) {
        return ("{\"name\":\"%s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"type\":\"m\","
                        + "\"group\":0,\"status\":\"%s\",\"weight\":1.0,\"since_ms\":0}")
                .formatted(name, status);
    }

    @Test
    void aWholeListOfAnOlderVersionUndoesNoDrain() {
        begin();
        say(message(8, true, entry("s", "SERVING")));
        say(message(9, false, entry("s", "DRAINING")));
        say(message(8, true, entry("s", "SERVING")));
        assertEquals(2, listed.size());
        assertTrue(hungUp.contains(1L), "a discovery that is behind is listened to");
        begin();
        say(message(8, true, entry("s", "SERVING")));
        assertEquals(2, listed.size());
        assertEquals("/v1/endpoints?watch=1&from=9", called.get(1));
    }

    @Test
    void aChangeThatCameBrokenIsAskedForAgainAndNothingAfterItConfirmsTheList() {
        begin();
        say(message(8, true, entry("s", "SERVING")));
        now += 5 * S;
        say("{\"index\":9,\"snapshot\":false,\"endpoints\":[{\"name\":\"s");
        say(message(10, false, entry("t", "SERVING")));
        say("");
        assertEquals(1, listed.size());
        assertEquals(List.of(now), pending);
        assertTrue(hungUp.contains(1L), "the watch goes on");
        begin();
        assertEquals("/v1/endpoints?watch=1&from=8", called.get(1));
    }

    @Test
    void aChangeThatHasBegunCountsAsToldSinceThen() {
        begin();
        say(message(8, true, entry("s", "SERVING")));
        now += S;
        say("{\"index\":9,");
        long begunUs = now;
        now += S;
        say("\"snapshot\":false,");
        assertEquals(List.of(begunUs), pending);
        say("\"endpoints\":[" + entry("s", "DRAINING") + "]}");
        assertEquals(2, listed.size());
    }

    /** What the older one says of other servers is nowhere else. */
    @Test
    void afterAChangeOfAnOlderVersionTheWholeListIsFetched() {
        begin();
        say(message(8, true, entry("s", "SERVING"), entry("t", "SERVING")));
        say(message(10, false, entry("t", "DRAINING")));
        say(message(9, false, entry("s", "DRAINING")));
        assertEquals(2, listed.size());
        assertEquals(List.of(now), pending);
        begin();
        assertEquals("/v1/endpoints", called.get(1));
    }

    /** A connection may be closed within the call that closes it. */
    @Test
    void aCallThatIsGivenUpEndsOnceAndNotTheOneThatFollowsIt() {
        begin();
        say(message(8, true));
        watch.answerEnded(now, call);
        assertEquals(1, lost);
        begin();
        now += 6 * S;
        watch.time(now);
        assertEquals(2, lost);
    }

    /** A watch was seen to bring one 1.1 s after discovery had a change that it had not told. */
    @Test
    void anEmptyLineDoesNotProveThatNothingChangedInTheTwoSecondsItStandsFor() {
        begin();
        say(message(8, true, entry("s", "SERVING")));
        assertEquals(now, lastAsOfUs());
        now += 5 * S;
        say("");
        assertEquals(now - 2 * S, lastAsOfUs());
        say(message(9, false, entry("t", "SERVING")));
        assertEquals(now - 2 * S, lastAsOfUs());
    }

    /** It may come while the call waits its turn. */
    @Test
    void anEmptyLineBeforeTheAnswerProvesNothingSinceTheCallWasMade() {
        begin();
        long calledUs = now;
        now += 3 * S;
        say("");
        assertEquals(calledUs, lastAsOfUs());
    }

    /** A process that was paused reads what was written long ago. */
    @Test
    void whatStoodUnreadIsAsOldAsItMayBe() {
        begin();
        say(message(8, true, entry("s", "SERVING")));
        now += 10 * S;
        long arrivedUs = now - 9 * S;
        say("", arrivedUs);
        ListFreshness last = currencies.get(currencies.size() - 1);
        assertEquals(arrivedUs - 2 * S, last.asOfUs());
        assertTrue(last.watchedUntilUs() < now, "its silence begins anew");
    }

    /** What was written counts as told, read or not, and more may be on its way. */
    @Test
    void whatAWatchStillTellsAfterAMoveIsTakenInUntilTheNextAnswers() {
        begin();
        say(message(8, true, entry("s", "SERVING")));
        long old = call;
        watch.moveTo(now, new InetSocketAddress(1));
        watch.body(now, now, old, bytes(message(9, false, entry("s", "DRAINING"))));
        assertEquals(9, listed.get(listed.size() - 1).index());
        assertFalse(hungUp.contains(old));
        watch.answered(now, call, 200);
        say(message(9, false));
        assertTrue(hungUp.contains(old));
    }

    @Test
    void aSilentWatchThatSpeaksAgainIsHeardUntilTheNextAnswers() {
        begin();
        say(message(8, true, entry("s", "SERVING")));
        long old = call;
        now += 3 * S;
        watch.time(now);
        watch.watch(now);
        watch.body(now, now, old, bytes(message(9, false, entry("s", "DRAINING"))));
        assertEquals(9, listed.get(listed.size() - 1).index());
        watch.answered(now, call, 200);
        say(message(9, false));
        assertTrue(hungUp.contains(old));
    }

    /** What was written on it is told and unread: an older watch says nothing of that. */
    @Test
    void aSilentWatchIsNotHeardAnyMoreOnceALaterOneBroughtSomethingBroken() {
        begin();
        say(message(8, true, entry("s", "SERVING")));
        long old = call;
        now += 3 * S;
        watch.time(now);
        begin();
        say("{\"index\":9,\"endpoints\":[{\"name\":\"s");
        int words = currencies.size();
        watch.body(now, now, old, bytes(""));
        assertEquals(words, currencies.size());
    }

    /** A pause that is counted from the last byte would be over at once. */
    @Test
    void anObjectThatDoesNotEndIsGivenUpAtTheTimeOfThat() {
        begin();
        say(message(8, true));
        say("{\"index\":9,");
        now += 3 * S;
        watch.time(now);
        assertTrue(log.stream().anyMatch(l -> l.contains("ended after 3000 ms")), log::toString);
    }

    /** It drained, served and drained again: of that the changes after version 8 have nothing. */
    @Test
    void changesAfterAnOlderVersionThanTheOneKnownAreAskedForAnew() {
        begin();
        say(message(8, true, entry("s", "DRAINING")));
        long old = call;
        watch.moveTo(now, new InetSocketAddress(1));
        watch.body(now, now, old, bytes(message(9, false, entry("s", "SERVING"))));
        watch.answered(now, call, 200);
        say(message(10, false));
        assertEquals(9, listed.get(listed.size() - 1).index());
        assertEquals(List.of(now), pending);
        begin();
        assertTrue(called.get(2).endsWith("from=9"), called::toString);
    }

    /** One that is down has a call wait for seconds before it is turned away. */
    @Test
    void aCallThatIsTurnedAwayAtOnceShowsThatDiscoveryIsThere() {
        watch.watch(now);
        watch.answered(now + 20 * MS, call, 503);
        assertEquals(1, turnedAway);
        now += S;
        watch.watch(now);
        watch.answered(now + 2 * S, call, 503);
        assertEquals(1, turnedAway);
    }

    private long lastAsOfUs() {
        return currencies.get(currencies.size() - 1).asOfUs();
    }
}
