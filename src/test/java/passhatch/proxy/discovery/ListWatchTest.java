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

/** How the watch processes the messages of discovery, with a simulated clock. */
final class ListWatchTest {

    private static final long MS = 1_000;
    private static final long S = 1_000 * MS;
    private static final EndpointList KNOWN = new EndpointList(7, true, List.of());

    private final List<String> requestedPaths = new ArrayList<>();
    private final List<Long> closedCalls = new ArrayList<>();
    private final List<EndpointList> listed = new ArrayList<>();
    private final List<ListFreshness> freshnesses = new ArrayList<>();
    private final List<Long> pending = new ArrayList<>();
    private final List<Long> wakeTimes = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private int lostWatches;
    private int rejections;
    private long now = 100 * S;
    private long call;

    private ListWatch watch = newWatch(true);

    private ListWatch newWatch(boolean onRequest) {
        return new ListWatch(
                new ListWatch.WatchConfig(
                        new InetSocketAddress(0),
                        KNOWN,
                        onRequest,
                        List.of("a"),
                        List.of("m"),
                        750 * MS),
                1,
                new RecordingTransport(),
                new RecordingListener(),
                log::add);
    }

    private final class RecordingTransport implements ListWatch.Transport {
        @Override
        public void startCall(long number, InetSocketAddress address, String path) {
            call = number;
            requestedPaths.add(path);
        }

        @Override
        public void closeCall(long number) {
            closedCalls.add(number);
            watch.onClosed(now, number);
        }

        @Override
        public void wakeAt(long atUs) {
            wakeTimes.add(atUs);
        }
    }

    private final class RecordingListener implements ListWatch.Listener {
        @Override
        public void onList(EndpointList list, ListFreshness currency) {
            listed.add(list);
            freshnesses.add(currency);
        }

        @Override
        public void onUnchanged(ListFreshness currency) {
            freshnesses.add(currency);
        }

        @Override
        public void onMessagePending(long sinceUs) {
            pending.add(sinceUs);
        }

        @Override
        public void onWatchLost() {
            lostWatches++;
        }

        @Override
        public void onDiscoveryReached() {}

        @Override
        public void onCallRejected() {
            rejections++;
        }

        @Override
        public void onAddressChanged() {}
    }

    private void openWatch() {
        watch.startWatch(now);
        watch.onConnected(call);
        watch.onResponseHead(now, call, 200);
    }

    private void receive(String line) {
        receive(line, now);
    }

    private void receive(String line, long arrivedUs) {
        watch.onBody(now, arrivedUs, call, bytes(line));
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
        openWatch();
        receive(message(8, true, entry("s", "SERVING")));
        receive(message(9, false, entry("s", "DRAINING")));
        receive(message(8, true, entry("s", "SERVING")));
        assertEquals(2, listed.size());
        assertTrue(closedCalls.contains(1L), "a watch with an old version stays open");
        openWatch();
        receive(message(8, true, entry("s", "SERVING")));
        assertEquals(2, listed.size());
        assertEquals("/v1/endpoints?watch=1&from=9", requestedPaths.get(1));
    }

    @Test
    void aMalformedChangeIsRequestedAgainAndNothingAfterItConfirmsTheList() {
        openWatch();
        receive(message(8, true, entry("s", "SERVING")));
        now += 5 * S;
        receive("{\"index\":9,\"snapshot\":false,\"endpoints\":[{\"name\":\"s");
        receive(message(10, false, entry("t", "SERVING")));
        receive("");
        assertEquals(1, listed.size());
        assertEquals(List.of(now), pending);
        assertTrue(closedCalls.contains(1L), "the watch stays open");
        openWatch();
        assertEquals("/v1/endpoints?watch=1&from=8", requestedPaths.get(1));
    }

    @Test
    void aChangeIsPendingFromItsFirstByte() {
        openWatch();
        receive(message(8, true, entry("s", "SERVING")));
        now += S;
        receive("{\"index\":9,");
        long startedUs = now;
        now += S;
        receive("\"snapshot\":false,");
        assertEquals(List.of(startedUs), pending);
        receive("\"endpoints\":[" + entry("s", "DRAINING") + "]}");
        assertEquals(2, listed.size());
    }

    /** What the older message says about other servers is in no other message. */
    @Test
    void afterAChangeOfAnOlderVersionTheWholeListIsFetched() {
        openWatch();
        receive(message(8, true, entry("s", "SERVING"), entry("t", "SERVING")));
        receive(message(10, false, entry("t", "DRAINING")));
        receive(message(9, false, entry("s", "DRAINING")));
        assertEquals(2, listed.size());
        assertEquals(List.of(now), pending);
        openWatch();
        assertEquals("/v1/endpoints", requestedPaths.get(1));
    }

    /** The transport may report a close from within the call that closes the connection. */
    @Test
    void anAbandonedCallEndsOnceWithoutEndingTheNextOne() {
        openWatch();
        receive(message(8, true));
        watch.onResponseEnd(now, call);
        assertEquals(1, lostWatches);
        openWatch();
        now += 6 * S;
        watch.onTimer(now);
        assertEquals(2, lostWatches);
    }

    /** A message on a watch does not make a pushed list current up to the end of the watch. */
    @Test
    void whereListsArePushedAnEmptyLineProvesNothingAboutTheTwoSecondsBeforeIt() {
        watch = newWatch(false);
        openWatch();
        receive(message(8, true, entry("s", "SERVING")));
        assertEquals(now, lastAsOfUs());
        now += 2 * S;
        receive("");
        assertEquals(now - 2 * S, lastAsOfUs());
    }

    /** An empty line was observed 1.1 s after a change that discovery had not sent yet. */
    @Test
    void anEmptyLineProvesNothingAboutTheTwoSecondsBeforeIt() {
        openWatch();
        receive(message(8, true, entry("s", "SERVING")));
        assertEquals(now, lastAsOfUs());
        now += 5 * S;
        receive("");
        assertEquals(now - 2 * S, lastAsOfUs());
        receive(message(9, false, entry("t", "SERVING")));
        assertEquals(now - 2 * S, lastAsOfUs());
    }

    /** It may be sent while the call is still queued. */
    @Test
    void anEmptyLineBeforeTheListProvesNothingAfterTheStartOfTheCall() {
        openWatch();
        long calledUs = now;
        now += 3 * S;
        receive("");
        assertEquals(calledUs, lastAsOfUs());
    }

    /** A process that was paused reads messages that were written long ago. */
    @Test
    void unreadMessagesCountFromTheirEarliestArrival() {
        openWatch();
        receive(message(8, true, entry("s", "SERVING")));
        now += 10 * S;
        long arrivedUs = now - 9 * S;
        receive("", arrivedUs);
        ListFreshness last = freshnesses.get(freshnesses.size() - 1);
        assertEquals(arrivedUs - 2 * S, last.asOfUs());
        assertTrue(
                last.watchedUntilUs() < now,
                "the silence is counted from the read, not from the arrival");
    }

    /** A message that was written is deemed notified, read or not, and more may be on its way. */
    @Test
    void messagesOfTheOldWatchAreUsedAfterAnAddressChangeUntilTheNextResponds() {
        openWatch();
        receive(message(8, true, entry("s", "SERVING")));
        long oldCall = call;
        watch.changeAddress(now, new InetSocketAddress(1));
        watch.onBody(now, now, oldCall, bytes(message(9, false, entry("s", "DRAINING"))));
        assertEquals(9, listed.get(listed.size() - 1).index());
        assertFalse(closedCalls.contains(oldCall));
        watch.onResponseHead(now, call, 200);
        receive(message(9, false));
        assertTrue(closedCalls.contains(oldCall));
    }

    @Test
    void aSilentWatchThatResumesIsReadUntilTheNextResponds() {
        openWatch();
        receive(message(8, true, entry("s", "SERVING")));
        long oldCall = call;
        now += 3 * S;
        watch.onTimer(now);
        watch.startWatch(now);
        watch.onBody(now, now, oldCall, bytes(message(9, false, entry("s", "DRAINING"))));
        assertEquals(9, listed.get(listed.size() - 1).index());
        watch.onResponseHead(now, call, 200);
        receive(message(9, false));
        assertTrue(closedCalls.contains(oldCall));
    }

    /**
     * A message written on the later watch is deemed notified but unread, and an older watch says
     * nothing about it.
     */
    @Test
    void aSilentWatchIsIgnoredOnceALaterOneSentAMalformedMessage() {
        openWatch();
        receive(message(8, true, entry("s", "SERVING")));
        long oldCall = call;
        now += 3 * S;
        watch.onTimer(now);
        openWatch();
        receive("{\"index\":9,\"endpoints\":[{\"name\":\"s");
        int confirmations = freshnesses.size();
        watch.onBody(now, now, oldCall, bytes(""));
        assertEquals(confirmations, freshnesses.size());
    }

    /** A delay that is counted from the last byte would already have passed. */
    @Test
    void anObjectThatDoesNotEndIsAbandonedAtTheCurrentTime() {
        openWatch();
        receive(message(8, true));
        receive("{\"index\":9,");
        now += 3 * S;
        watch.onTimer(now);
        assertTrue(log.stream().anyMatch(l -> l.contains("ended after 3000 ms")), log::toString);
    }

    /**
     * The server drained, served and drained again, which the changes after version 8 do not show.
     */
    @Test
    void changesFromAnOlderVersionThanTheKnownOneAreRequestedAgain() {
        openWatch();
        receive(message(8, true, entry("s", "DRAINING")));
        long oldCall = call;
        watch.changeAddress(now, new InetSocketAddress(1));
        watch.onBody(now, now, oldCall, bytes(message(9, false, entry("s", "SERVING"))));
        watch.onResponseHead(now, call, 200);
        receive(message(10, false));
        assertEquals(9, listed.get(listed.size() - 1).index());
        assertEquals(List.of(now), pending);
        openWatch();
        assertTrue(requestedPaths.get(2).endsWith("from=9"), requestedPaths::toString);
    }

    /** A discovery service that is down lets a call wait for seconds before it is rejected. */
    @Test
    void aCallRejectedAtOnceShowsThatDiscoveryIsUp() {
        watch.startWatch(now);
        watch.onResponseHead(now + 20 * MS, call, 503);
        assertEquals(1, rejections);
        now += S;
        watch.startWatch(now);
        watch.onResponseHead(now + 2 * S, call, 503);
        assertEquals(1, rejections);
    }

    /** Guards against needless time without a list: a pushed list is out of use without a watch. */
    @Test
    void whereListsArePushedAWatchThatLastedASecondIsResumedAtOnce() {
        watch = newWatch(false);
        openWatch();
        receive(message(8, true));
        now += S;
        watch.onClosed(now, call);
        assertEquals(1, lostWatches);
        assertEquals(2, requestedPaths.size(), "no call after the end of the watch");
    }

    /** Proxies whose calls are rejected together must not call again in the same moment. */
    @Test
    void whereListsArePushedACallThatWaitedInVainIsRepeatedAfterARandomDelay() {
        watch = newWatch(false);
        watch.startWatch(now);
        now += 3 * S;
        watch.onResponseHead(now, call, 503);
        assertEquals(1, requestedPaths.size());
        long delayUs = wakeTimes.get(wakeTimes.size() - 1) - now;
        assertTrue(delayUs >= 25 * MS && delayUs <= 75 * MS, delayUs + " us");
        now += delayUs;
        watch.onTimer(now);
        assertEquals(2, requestedPaths.size());
    }

    /** A discovery service that ends each watch at once must not be called all the time. */
    @Test
    void whereListsArePushedCallsThatEndAtOnceAreRepeatedWithDelays() {
        watch = newWatch(false);
        openWatch();
        int calls = 0;
        long endUs = now + 10 * S;
        while (now < endUs) {
            receive(message(8, false));
            watch.onClosed(now, call);
            calls++;
            now = wakeTimes.get(wakeTimes.size() - 1);
            watch.onTimer(now);
            watch.onResponseHead(now, call, 200);
        }
        assertTrue(calls > 100 && calls < 400, calls + " calls in 10 s");
    }

    /** Guards against a timer that still waits for the end of the call's first message. */
    @Test
    void whereListsArePushedSilenceIsNoticedWhenTheListGoesOutOfUse() {
        watch = newWatch(false);
        openWatch();
        now += 100 * MS;
        receive(message(8, true));
        ListFreshness freshness = freshnesses.get(freshnesses.size() - 1);
        assertTrue(wakeTimes.contains(freshness.watchedUntilUs()), wakeTimes::toString);
        now = freshness.watchedUntilUs();
        watch.onTimer(now);
        assertEquals(2, requestedPaths.size(), "no call when the list goes out of use");
    }

    private long lastAsOfUs() {
        return freshnesses.get(freshnesses.size() - 1).asOfUs();
    }
}
