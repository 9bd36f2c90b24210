package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.proxy.Rig.up;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import passhatch.proxy.base.EventLog;

/** The watch on discovery: readiness, lists, changes, and recovery after failures. */
@Timeout(60)
final class DiscoveryWatchTest {

    @TempDir Path folder;
    private Rig rig;

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    @Test
    void isReadyOnlyOnceTheListIsReceived() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        ProxyServer proxy =
                ProxyServer.start(
                        ProxyConfig.read(rig.environment()),
                        new EventLog(System.err),
                        passhatch.Logic::new);
        try (HttpConnection client = HttpConnection.connect(proxy.address())) {
            client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
            assertEquals(503, client.read().status());
            rig.lines.add(Rig.list(8, true, up("s", backend)));
            Rig.awaitReady(proxy.address());
        } finally {
            proxy.stopNow();
        }
    }

    @Test
    void servesWithTheInitialListIfDiscoveryIsUnreachable() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "known"));
        rig.listsOnRequest().unreachableDiscovery();
        ProxyServer proxy = startWithInitialList(backend);
        try (HttpConnection client = HttpConnection.connect(proxy.address())) {
            client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
            assertEquals(503, client.read().status());
            Rig.awaitReady(proxy.address());
            client.write(Rig.get("r", ""));
            assertEquals("known", client.read().text());
        } finally {
            proxy.stopNow();
        }
    }

    /**
     * Guards against a removed backend that is used by a new process: where lists are pushed,
     * changes are deemed notified from the first moment of the process.
     */
    @Test
    void sendsNothingWithTheInitialListOfPushedListsIfDiscoveryIsUnreachable() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "known"));
        rig.unreachableDiscovery();
        ProxyServer proxy = startWithInitialList(backend);
        Rig.awaitReady(proxy.address());
        try (HttpConnection client = HttpConnection.connect(proxy.address())) {
            client.write(Rig.get("r", "X-Deadline: 200m\r\n"));
            assertEquals(503, client.read().status());
            assertTrue(backend.received.isEmpty(), "sent with a list of unknown age");
        } finally {
            proxy.stopNow();
        }
    }

    @Test
    void sendsNothingWithTheInitialListIfDiscoveryIsReachableButSilent() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "known"));
        ProxyServer proxy = startWithInitialList(backend);
        Rig.awaitReady(proxy.address());
        try (HttpConnection client = HttpConnection.connect(proxy.address())) {
            client.write(Rig.get("r", "X-Deadline: 200m\r\n"));
            assertEquals(503, client.read().status());
            assertTrue(backend.received.isEmpty(), "sent with a list of unknown age");
        } finally {
            proxy.stopNow();
        }
    }

    private ProxyServer startWithInitialList(ScriptedServer known) throws Exception {
        return ProxyServer.start(
                ProxyConfig.read(rig.initialList(Rig.list(7, true, up("s", known))).environment()),
                new EventLog(System.err),
                passhatch.Logic::new);
    }

    /** If nothing has changed since the initial list, a watch begins with an empty line. */
    @Test
    void isReadyIfNothingHasChanged() throws Exception {
        rig.lines.add("");
        ProxyServer proxy =
                ProxyServer.start(
                        ProxyConfig.read(rig.environment()),
                        new EventLog(System.err),
                        passhatch.Logic::new);
        try {
            Rig.awaitReady(proxy.address());
        } finally {
            proxy.stopNow();
        }
    }

    /**
     * The old watch stays open without further messages: a server that drains meanwhile is reported
     * on another.
     */
    @Test
    void aStalledWatchIsAbandonedAndTheLastListIsUsedMeanwhile() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "x"));
        ScriptedServer next =
                rig.backend((connection, request) -> connection.respond("200 OK", "next"));
        rig.listsOnRequest().silentWatches().start(up("s", backend));
        rig.discovery().nextRequest();
        long start = System.nanoTime();
        while (rig.discovery().received.isEmpty()) {
            assertEquals("x", rig.send(Rig.get("r" + System.nanoTime(), "")).text());
            Thread.sleep(20);
        }
        assertTrue(System.nanoTime() - start < 5_000_000_000L, "the next watch started too late");
        assertTrue(rig.discovery().nextRequest().startLine().contains("watch=1&from=8"));
        String text = "x";
        for (int i = 0; !text.equals("next"); i++) {
            // The stalled watch may still receive one of them.
            rig.lines.add(
                    Rig.list(
                            9,
                            false,
                            Rig.entry("s", backend.address(), "DRAINING"),
                            up("t", next)));
            text = rig.send(Rig.get("s" + i, "")).text();
            Thread.sleep(5);
        }
        int served = backend.received.size();
        for (int i = 0; i < 5; i++) {
            assertEquals("next", rig.send(Rig.get("t" + i, "")).text());
        }
        assertEquals(served, backend.received.size(), "sent to a draining backend");
    }

    /**
     * Guards against the use of a pushed list without a watch: the backend may drain, and the proxy
     * is deemed notified of that at once.
     */
    @Test
    void aPushedListIsNotUsedFromTheEndOfItsWatchUntilTheNextOneResponds() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "x"));
        rig.silentWatches().start(up("s", backend));
        assertEquals("x", rig.send(Rig.get("a", "")).text());
        rig.awaitLog("no message for 3000 ms");
        int served = backend.received.size();
        assertEquals(503, rig.send(Rig.get("b", "X-Deadline: 200m\r\n")).status());
        assertEquals(served, backend.received.size(), "sent without a watch");
        String text = "";
        for (int i = 0; !text.equals("x"); i++) {
            // The silent watch may still receive one of them.
            rig.lines.add(Rig.list(9, false));
            text = rig.send(Rig.get("c" + i, "X-Deadline: 200m\r\n")).text();
        }
    }

    @Test
    void resumesABrokenWatchFromTheLastIndexAndSkipsMalformedLines() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "s"));
        rig.start(up("s", backend));
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=7"));
        rig.lines.add("{\"index\":9,\"snapshot\":true,\"endpoints\":[{\"name\":5}]}");
        rig.lines.add("not json");
        rig.lines.add(Rig.END_OF_WATCH);
        assertTrue(
                rig.discovery().nextRequest().startLine().contains("from=8"),
                "a malformed line changed the version");
        assertEquals("s", rig.send(Rig.get("a", "")).text(), "the last list was lost");
        ScriptedServer other =
                rig.backend((connection, request) -> connection.respond("200 OK", "t"));
        rig.lines.add(
                Rig.list(12, false, Rig.entry("s", backend.address(), "DELETED"), up("t", other)));
        rig.lines.add(Rig.END_OF_WATCH);
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=12"));
        assertEquals("t", rig.send(Rig.get("b", "")).text());
    }

    /** Changes of an older version are out of date: a draining server stays draining. */
    @Test
    void changesOfAnOlderVersionUndoNothing() throws Exception {
        ScriptedServer drains =
                rig.backend((connection, request) -> connection.respond("200 OK", "drains"));
        ScriptedServer stays =
                rig.backend((connection, request) -> connection.respond("200 OK", "stays"));
        rig.start(up("drains", drains));
        rig.lines.add(
                Rig.list(
                        12,
                        false,
                        up("stays", stays),
                        Rig.entry("drains", drains.address(), "DRAINING")));
        rig.lines.add(
                Rig.list(
                        11,
                        false,
                        up("drains", drains),
                        Rig.entry("stays", stays.address(), "DELETED")));
        rig.awaitLog("a list is skipped: its version 11 is older than 12");
        for (int i = 0; i < 4; i++) {
            assertEquals("stays", rig.send(Rig.get("r" + i, "")).text());
        }
    }

    /**
     * A call may stall before its response begins: a change that it misses is deemed notified 6 s
     * later.
     */
    @Test
    void callsAgainInTimeIfACallGetsNoResponse() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "s"));
        rig.start(up("s", backend));
        rig.discovery().nextRequest();
        rig.lines.add(Rig.END_OF_WATCH);
        rig.lines.add(Rig.NO_RESPONSE);
        rig.discovery().nextRequest();
        long silent = System.nanoTime();
        rig.discovery().nextRequest();
        long ms = (System.nanoTime() - silent) / 1_000_000;
        assertTrue(ms > 2_500 && ms < 5_000, "called again after " + ms + " ms");
    }

    /** An incomplete list is not used, whatever follows; it is requested again. */
    @Test
    void abandonsAListThatDoesNotEnd() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "s"));
        rig.silentWatches().start(up("s", backend));
        rig.discovery().nextRequest();
        rig.lines.add("{\"index\":9,");
        rig.awaitLog("a list is skipped: it did not end");
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=8"));
        assertEquals(503, rig.send(Rig.get("a", "X-Deadline: 200m\r\n")).status());
        assertTrue(backend.received.isEmpty(), "sent although a change has started to arrive");
        String text = "";
        for (int i = 0; !text.equals("s"); i++) {
            // Abandoned watches may still receive some of them.
            rig.lines.add(Rig.list(9, false));
            text = rig.send(Rig.get("b" + i, "X-Deadline: 200m\r\n")).text();
        }
    }

    /** Bytes keep arriving, but no message. */
    @Test
    void malformedLinesDoNotKeepAWatchAlive() throws Exception {
        rig.silentWatches().start();
        rig.discovery().nextRequest();
        long start = System.nanoTime();
        while (rig.discovery().received.isEmpty()) {
            rig.lines.add("no list");
            Thread.sleep(200);
            assertTrue(System.nanoTime() - start < 4_500_000_000L, "called again too late");
        }
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=8"));
    }

    /**
     * A start calls discovery once, not twice, as the calls of all proxies wait there in one queue.
     */
    @Test
    void startsAWatchFromAnInitialListOfVersionZero() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "s"));
        rig.initialList(Rig.list(0, true, up("s", backend))).start(up("s", backend));
        assertEquals(
                "GET /v1/endpoints?watch=1&from=0 HTTP/1.1",
                rig.discovery().nextRequest().startLine());
        assertEquals("s", rig.send(Rig.get("a", "")).text());
    }

    /** With nothing known, not even a version, the whole list is fetched first. */
    @Test
    void fetchesTheWholeListIfNothingIsKnown() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "s"));
        rig.initialList(Rig.list(0, true)).start(up("s", backend));
        assertEquals("GET /v1/endpoints HTTP/1.1", rig.discovery().nextRequest().startLine());
        assertEquals(
                "GET /v1/endpoints?watch=1&from=8 HTTP/1.1",
                rig.discovery().nextRequest().startLine());
    }

    /** Lists and changes may be indented, on a watch as well as in a single response. */
    @Test
    void acceptsIndentedLists() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "s"));
        ScriptedServer other =
                rig.backend((connection, request) -> connection.respond("200 OK", "t"));
        rig.indented().start(up("s", backend));
        assertEquals("s", rig.send(Rig.get("a", "")).text());
        rig.lines.add(
                Rig.list(12, false, Rig.entry("s", backend.address(), "DELETED"), up("t", other)));
        rig.lines.add(Rig.END_OF_WATCH);
        rig.lines.add(Rig.UNKNOWN_VERSION);
        rig.lines.add(Rig.list(40, true, up("t", other)));
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=7"));
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=12"));
        assertEquals("GET /v1/endpoints HTTP/1.1", rig.discovery().nextRequest().startLine());
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=40"));
        assertEquals("t", rig.send(Rig.get("b", "")).text());
    }

    @Test
    void fetchesTheWholeListIfDiscoveryNoLongerHasTheVersion() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "s"));
        rig.start(up("s", backend));
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=7"));
        ScriptedServer other =
                rig.backend((connection, request) -> connection.respond("200 OK", "t"));
        rig.lines.add(Rig.END_OF_WATCH);
        rig.lines.add(Rig.UNKNOWN_VERSION);
        rig.lines.add(Rig.list(40, true, up("t", other)));
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=8"));
        assertEquals("GET /v1/endpoints HTTP/1.1", rig.discovery().nextRequest().startLine());
        assertTrue(rig.discovery().nextRequest().startLine().contains("from=40"));
        assertEquals("t", rig.send(Rig.get("b", "")).text());
    }
}
