package passhatch.proxy.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import passhatch.Balancer.Outcome;
import passhatch.proxy.HttpConnection;
import passhatch.proxy.ScriptedServer;
import passhatch.proxy.backend.BackendPool.Handle;
import passhatch.proxy.backend.BackendPool.RequestSpec;
import passhatch.proxy.backend.BackendPool.Result;
import passhatch.proxy.base.Clock;
import passhatch.proxy.base.DescriptorLimits;
import passhatch.proxy.base.EventLog;
import passhatch.proxy.flow.BufferBudget;

/**
 * Tests the pool against scripted backends: which outcome each end of an exchange maps to, and
 * which connections are reused.
 */
@Timeout(60)
final class BackendPoolTest {

    private static final long LONG_TIMEOUT_US = 15_000_000;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Result> results = new LinkedBlockingQueue<>();
    private final DescriptorLimits descriptors = new DescriptorLimits(0);
    private final BufferBudget budget = new BufferBudget(1 << 20);
    private BackendPool pool;

    @BeforeEach
    void setUp() {
        // Leaves two connections to backends.
        descriptors.setLimit(6);
        pool = pool(10_000_000, 0);
    }

    private BackendPool pool(long keepaliveUs, long reuseDelayUs) {
        return pool(keepaliveUs, reuseDelayUs, BackendChannel::new);
    }

    private BackendPool pool(
            long keepaliveUs, long reuseDelayUs, ChannelFactory<BackendChannel> channelFactory) {
        return new BackendPool(
                loop,
                new Clock(),
                new EventLog(System.err),
                budget,
                10_000_000,
                keepaliveUs,
                reuseDelayUs,
                descriptors,
                channelFactory);
    }

    @Test
    void aLackOfLocalDescriptorsIsNotABackendFailureAndLeaksNone() throws Exception {
        pool =
                pool(
                        10_000_000,
                        0,
                        () -> {
                            throw new ChannelException(new SocketException("Too many open files"));
                        });
        assertNotSentThreeTimes();
    }

    @Test
    void aLackOfLocalPortsOrRoutesIsNotABackendFailure() throws Exception {
        for (SocketException local :
                List.of(
                        new BindException("Cannot assign requested address"),
                        new SocketException("Network is unreachable"),
                        new SocketException("No buffer space available"))) {
            pool =
                    pool(
                            10_000_000,
                            0,
                            () ->
                                    new BackendChannel() {
                                        @Override
                                        protected boolean doConnect(
                                                SocketAddress to, SocketAddress at)
                                                throws Exception {
                                            throw local;
                                        }
                                    });
            assertNotSentThreeTimes();
        }
    }

    private void assertNotSentThreeTimes() throws Exception {
        InetSocketAddress nowhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        for (int i = 0; i < 3; i++) {
            send(nowhere, true, LONG_TIMEOUT_US);
            assertEquals(Outcome.NOT_SENT, results.poll(5, TimeUnit.SECONDS).outcome());
        }
        loop.submit(() -> assertEquals(0, descriptors.backendConnections())).sync();
    }

    @AfterEach
    void tearDown() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private Handle send(InetSocketAddress address, boolean stillWanted, long timeoutUs)
            throws Exception {
        return loop.submit(
                        () -> pool.send(address, requestSpec(stillWanted, timeoutUs), results::add))
                .get();
    }

    private static RequestSpec requestSpec(boolean stillWanted, long timeoutUs) {
        return new RequestSpec(
                BackendPoolTest::message, null, () -> stillWanted, timeoutUs, Outcome.TIMEOUT);
    }

    private static FullHttpRequest message() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
    }

    private Outcome awaitOutcome() throws InterruptedException {
        Result result = results.poll(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(result, "no result arrived");
        return result.outcome();
    }

    private Outcome sendAndAwait(InetSocketAddress address) throws Exception {
        send(address, true, LONG_TIMEOUT_US);
        return awaitOutcome();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    OK    | 200 OK                               | Content-Length: 2
                    ERROR | 500 Broken                           | Content-Length: 2
                    FULL  | 503 Full                             | Content-Length: 2;X-Not-Run: 1
                    FULL  | 504 Over                             | Content-Length: 2;X-Not-Run: 1
                    ERROR | 503 Behind                           | Content-Length: 2
                    ERROR | 504 Behind                           | Content-Length: 2
                    ERROR | 500 Broken                           | Content-Length: 2;X-Not-Run: 1
                    ERROR | 404 Odd                              | Content-Length: 2
                    RESET | 200 OK                               | Content-Length: 9
                    RESET | nonsense                             | Content-Length: 2
                    RESET | 200 OK                               | Content-Length: 2;no colon here
                    RESET | 200 OK                               | Content-Length: 1
                    RESET | 200 OK                               | Content-Length: 0
                    RESET | 200 OK                               | Content-Length: 3000000000
                    OK    | 200 OK                               | Content-Length: 2;X-Empty:
                    OK    | 200 OK                               | Content-Length: 2;X-Folded: a;  b
                    OK    | 200 OK                               | Connection: close
                    OK    | 100 Continue;;HTTP/1.1 200 OK        | Content-Length: 2
                    RESET | 100 Continue;;HTTP/1.1 200 OK        | Content-Length: 2;no colon here
                    """)
    void mapsResponsesToOutcomes(Outcome outcome, String status, String headers) throws Exception {
        try (ScriptedServer backend =
                new ScriptedServer(
                        (connection, request) -> {
                            connection.write(
                                    ("HTTP/1.1 " + status + ";" + headers).replace(";", "\r\n")
                                            + "\r\n\r\nab");
                            connection.close();
                        })) {
            assertEquals(outcome, sendAndAwait(backend.address()));
        }
    }

    /**
     * The second copy was still buffered when the next request took the connection, and was taken
     * for its response.
     */
    @Test
    void aSecondResponseToOneRequestIsNotUsedForTheNextRequest() throws Exception {
        AtomicInteger responses = new AtomicInteger();
        try (ScriptedServer backend =
                new ScriptedServer(
                        (connection, request) -> {
                            String response =
                                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
                                            + responses.incrementAndGet();
                            connection.write(response + response);
                        })) {
            BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
            loop.submit(
                            () ->
                                    pool.send(
                                            backend.address(),
                                            requestSpec(true, LONG_TIMEOUT_US),
                                            first -> {
                                                bodies.add(
                                                        new String(
                                                                first.body(),
                                                                StandardCharsets.UTF_8));
                                                pool.send(
                                                        backend.address(),
                                                        requestSpec(true, LONG_TIMEOUT_US),
                                                        next ->
                                                                bodies.add(
                                                                        new String(
                                                                                next.body(),
                                                                                StandardCharsets
                                                                                        .UTF_8)));
                                            }))
                    .get();
            assertEquals("1", bodies.poll(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals("2", bodies.poll(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }
    }

    /**
     * Without a line end the decoder reads no response from them, yet they would corrupt the next
     * one.
     */
    @Test
    void bytesOnAnIdleConnectionCloseIt() throws Exception {
        try (ScriptedServer backend =
                new ScriptedServer(
                        (connection, request) -> {
                            connection.respond("200 OK", "x");
                            results.take();
                            connection.write("stray");
                        })) {
            send(backend.address(), true, LONG_TIMEOUT_US);
            backend.awaitConnectionEnd();
        }
    }

    /** What arrives on an idle connection just before it is taken for the next request. */
    enum ConcurrentEvent {
        CLOSE {
            @Override
            void trigger(HttpConnection connection, ScriptedServer backend) throws Exception {
                connection.close();
                backend.awaitConnectionEnd();
            }
        },
        RESET {
            @Override
            void trigger(HttpConnection connection, ScriptedServer backend) throws Exception {
                connection.reset();
                // A socket that a thread reads from is closed by that thread.
                backend.awaitConnectionEnd();
            }
        },
        PARTIAL_LINE {
            @Override
            void trigger(HttpConnection connection, ScriptedServer backend) throws Exception {
                connection.write("HTTP/1.1 2");
            }
        },
        SECOND_RESPONSE {
            @Override
            void trigger(HttpConnection connection, ScriptedServer backend) throws Exception {
                connection.respond("200 OK", "stray");
            }
        };

        abstract void trigger(HttpConnection connection, ScriptedServer backend) throws Exception;
    }

    /**
     * The event loop has not seen the input yet, as it takes the connection in the same iteration.
     */
    @ParameterizedTest
    @EnumSource
    void aConnectionWithUnreadInputIsNotReused(ConcurrentEvent event) throws Exception {
        BlockingQueue<HttpConnection> first = new LinkedBlockingQueue<>();
        try (ScriptedServer backend =
                new ScriptedServer(
                        (connection, request) -> {
                            connection.respond("200 OK", "own");
                            first.add(connection);
                        })) {
            assertEquals(Outcome.OK, sendAndAwait(backend.address()));
            HttpConnection kept = first.take();
            loop.submit(
                            () -> {
                                event.trigger(kept, backend);
                                return pool.send(
                                        backend.address(),
                                        requestSpec(true, LONG_TIMEOUT_US),
                                        results::add);
                            })
                    .get();
            Result result = results.poll(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertEquals(Outcome.OK, result.outcome());
            assertEquals("own", new String(result.body(), StandardCharsets.UTF_8));
            assertEquals(2, backend.connections.get());
        }
    }

    private static ScriptedServer respondingTwice() throws IOException {
        return new ScriptedServer(
                (connection, request) ->
                        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".repeat(2)));
    }

    /**
     * The second response arrives some milliseconds after the first, when the next request has been
     * sent. Once a backend has sent unsolicited data, that request uses another connection.
     */
    @Test
    void aLateSecondResponseIsNotUsedForTheNextRequest() throws Exception {
        pool = pool(10_000_000, 60_000_000);
        try (ScriptedServer twice = respondingTwice()) {
            assertEquals(Outcome.OK, sendAndAwait(twice.address()));
        }
        BlockingQueue<HttpConnection> first = new LinkedBlockingQueue<>();
        try (ScriptedServer backend =
                new ScriptedServer(
                        (connection, request) -> {
                            if (first.isEmpty()) {
                                first.add(connection);
                                connection.respond("200 OK", "first");
                            } else {
                                first.peek().respond("200 OK", "first");
                                first.peek().socket.getInputStream().read();
                                connection.respond("200 OK", "next");
                            }
                        })) {
            assertEquals(Outcome.OK, sendAndAwait(backend.address()));
            send(backend.address(), true, LONG_TIMEOUT_US);
            Result result = results.poll(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertEquals("next", new String(result.body(), StandardCharsets.UTF_8));
        }
    }

    /** Without unsolicited data no additional connection is opened. */
    @Test
    void connectionsAreReusedAtOnceIfAllBackendsRespondOnce() throws Exception {
        pool = pool(10_000_000, 60_000_000);
        try (ScriptedServer backend = ScriptedServer.respondingWith("x")) {
            assertEquals(Outcome.OK, sendAndAwait(backend.address()));
            assertEquals(Outcome.OK, sendAndAwait(backend.address()));
            assertEquals(1, backend.connections.get());
        }
    }

    @Test
    void aConnectionIsReusedAfterTheReuseDelay() throws Exception {
        pool = pool(10_000_000, 1_000);
        try (ScriptedServer backend = ScriptedServer.respondingWith("x");
                ScriptedServer twice = respondingTwice()) {
            assertEquals(Outcome.OK, sendAndAwait(twice.address()));
            int requests = 0;
            do {
                assertEquals(Outcome.OK, sendAndAwait(backend.address()));
                requests++;
            } while (backend.connections.get() == requests);
            assertTrue(backend.connections.get() < requests);
        }
    }

    @Test
    void aConnectionLostAfterTheRequestIsAReset() throws Exception {
        try (ScriptedServer backend =
                new ScriptedServer((connection, request) -> connection.reset())) {
            assertEquals(Outcome.RESET, sendAndAwait(backend.address()));
        }
    }

    /** A response without a length ends only with an orderly close by the peer. */
    @Test
    void aResetDoesNotCompleteAResponse() throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        try (ScriptedServer backend =
                new ScriptedServer(
                        (connection, request) -> {
                            connection.write("HTTP/1.1 200 OK\r\n\r\nab");
                            read.await();
                            connection.reset();
                        })) {
            send(backend.address(), true, LONG_TIMEOUT_US);
            while (loop.submit(budget::bufferedBytes).get() == 0) {
                Thread.onSpinWait();
            }
            read.countDown();
            assertEquals(Outcome.RESET, awaitOutcome());
        }
    }

    /**
     * The close of the connection ended the response, so the next request must not be sent on it.
     */
    @Test
    void aConnectionWhoseCloseEndedAResponseIsNotReused() throws Exception {
        try (ScriptedServer backend =
                new ScriptedServer(
                        (connection, request) -> {
                            connection.write("HTTP/1.1 200 OK\r\n\r\nab");
                            connection.socket.shutdownOutput();
                        })) {
            loop.submit(
                            () ->
                                    pool.send(
                                            backend.address(),
                                            requestSpec(true, LONG_TIMEOUT_US),
                                            first -> {
                                                results.add(first);
                                                pool.send(
                                                        backend.address(),
                                                        requestSpec(true, LONG_TIMEOUT_US),
                                                        results::add);
                                            }))
                    .get();
            assertEquals(Outcome.OK, awaitOutcome());
            assertEquals(Outcome.OK, awaitOutcome());
            assertEquals(2, backend.connections.get());
        }
    }

    @Test
    void aRefusedConnectionIsAConnectFailure() throws Exception {
        try (Socket bound = new Socket()) {
            bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            InetSocketAddress notListening = (InetSocketAddress) bound.getLocalSocketAddress();
            assertEquals(Outcome.CONNECT_FAILED, sendAndAwait(notListening));
        }
    }

    /**
     * The timeout covers the connection setup, and a request that was never written cannot have
     * run.
     */
    @Test
    void aConnectionThatIsNeverEstablishedIsAConnectFailure() throws Exception {
        try (ServerSocket stuck = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress at = (InetSocketAddress) stuck.getLocalSocketAddress();
            try (Socket a = new Socket(at.getAddress(), at.getPort());
                    Socket b = new Socket(at.getAddress(), at.getPort())) {
                assertTrue(a.isConnected() && b.isConnected());
                send(at, true, 200_000);
                assertEquals(Outcome.CONNECT_FAILED, awaitOutcome());
            }
        }
    }

    @Test
    void aSilentBackendTimesOutAndItsConnectionIsClosed() throws Exception {
        try (ScriptedServer backend = new ScriptedServer(ScriptedServer.NO_RESPONSE)) {
            send(backend.address(), true, 300_000);
            backend.nextRequest();
            assertEquals(Outcome.TIMEOUT, awaitOutcome());
            backend.awaitConnectionEnd();
        }
    }

    @Test
    void aCancelledRequestCompletesOnceAndClosesItsConnection() throws Exception {
        try (ScriptedServer backend = new ScriptedServer(ScriptedServer.NO_RESPONSE)) {
            Handle request = send(backend.address(), true, LONG_TIMEOUT_US);
            backend.nextRequest();
            loop.submit(request::cancel).get();
            loop.submit(request::cancel).get();
            assertEquals(Outcome.CANCELLED, awaitOutcome());
            backend.awaitConnectionEnd();
            assertTrue(results.isEmpty());
        }
    }

    @Test
    void aRequestThatIsNoLongerWantedIsNotWritten() throws Exception {
        try (ScriptedServer backend = ScriptedServer.respondingWith("hm")) {
            send(backend.address(), false, LONG_TIMEOUT_US);
            assertEquals(Outcome.NOT_SENT, awaitOutcome());
            assertEquals(Outcome.OK, sendAndAwait(backend.address()));
            assertEquals(
                    1, backend.connections.get(), "the connection is kept for the next request");
            assertEquals(1, backend.received.size());
        }
    }

    @Test
    void reusesAnIdleConnection() throws Exception {
        try (ScriptedServer backend = ScriptedServer.respondingWith("x")) {
            assertEquals(Outcome.OK, sendAndAwait(backend.address()));
            assertEquals(Outcome.OK, sendAndAwait(backend.address()));
            assertEquals(1, backend.connections.get());
        }
    }

    /**
     * An idle connection that the backend closes on the next request: that request may have run.
     */
    @Test
    void aStaleConnectionIsAResetAndTheRequestIsNotResent() throws Exception {
        try (ScriptedServer backend =
                new ScriptedServer(
                        (connection, request) -> {
                            if (connection.socket.getKeepAlive()) {
                                connection.reset();
                            } else {
                                connection.socket.setKeepAlive(true);
                                connection.respond("200 OK", "first");
                            }
                        })) {
            assertEquals(Outcome.OK, sendAndAwait(backend.address()));
            assertEquals(Outcome.RESET, sendAndAwait(backend.address()));
            assertEquals(2, backend.received.size());
            assertEquals(1, backend.connections.get());
        }
    }

    @Test
    void closesIdleConnectionsBeforeTheBackendDoes() throws Exception {
        pool = pool(1_000, 0);
        try (ScriptedServer backend = ScriptedServer.respondingWith("x")) {
            assertEquals(Outcome.OK, sendAndAwait(backend.address()));
            Thread.sleep(1);
            loop.submit(pool::closeStaleConnections).get();
            backend.awaitConnectionEnd();
        }
    }

    @Test
    void closesIdleConnectionsOnDemand() throws Exception {
        try (ScriptedServer backend = ScriptedServer.respondingWith("x")) {
            assertEquals(Outcome.OK, sendAndAwait(backend.address()));
            loop.submit(() -> pool.closeIdleConnections(backend.address())).get();
            backend.awaitConnectionEnd();
        }
    }

    @Test
    void sendsNothingBeyondTheConnectionLimit() throws Exception {
        try (ScriptedServer backend = new ScriptedServer(ScriptedServer.NO_RESPONSE)) {
            send(backend.address(), true, LONG_TIMEOUT_US);
            send(backend.address(), true, LONG_TIMEOUT_US);
            assertEquals(Outcome.NOT_SENT, sendAndAwait(backend.address()));
        }
    }

    @Test
    void forwardsALoadReport() throws Exception {
        try (ScriptedServer backend =
                new ScriptedServer(
                        (connection, request) ->
                                connection.write(
                                        "HTTP/1.1 200 OK\r\n"
                                                + "X-Load: TEXT inflight=7, queue=2, util=0.61\r\n"
                                                + "Content-Length: 0\r\n\r\n"))) {
            send(backend.address(), true, LONG_TIMEOUT_US);
            Result result = results.poll(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertEquals(new passhatch.Balancer.LoadReport(7, 2, 0.61), result.report());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
