package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the bytes held for all connections together stay within what the memory allows. */
@Timeout(60)
final class MemoryLimitTest {

    private static final int MEMORY_MB = 36;

    /** A ninth of the memory: a third of the heap, which is a third of the memory. */
    private static final int MAX_ADMITTED_BYTES = (MEMORY_MB << 20) / 9;

    /** Maximum number of bytes of one read, which are held even if there is no space for them. */
    private static final int READ_BYTES = 1 << 14;

    private static final int CLIENTS = 150;
    private static final int CLIENTS_THAT_FILL_THE_MEMORY = 60;
    private static final int BODY_BYTES = 100_000;

    /** Less than a body that is streamed, so that the proxy has to keep these bytes. */
    private static final int SENT_FIRST_BYTES = 65_000;

    private static final int RESPONSE_BYTES = 65_000;
    private static final int RESPONSE_START_BYTES = 60_000;

    @TempDir Path folder;
    private Rig rig;

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder).control().sockets(1024).memoryMb(MEMORY_MB);
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    /**
     * Guards against bodies that are held without a limit until the heap is used up: each of many
     * clients sends most of a body that has to be kept, and none of them goes on until all have.
     */
    @Test
    void theBodiesOfManyClientsAreHeldWithinTheLimitAndEachIsAnswered() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "done"));
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        List<HttpConnection> clients = new ArrayList<>();
        long maxBytes = 0;
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(startBody("r" + i));
            maxBytes = Math.max(maxBytes, rig.proxy().bufferedBytes());
        }
        int served = 0;
        for (HttpConnection client : clients) {
            client.write(new byte[BODY_BYTES - SENT_FIRST_BYTES]);
            int status = client.read().status();
            maxBytes = Math.max(maxBytes, rig.proxy().bufferedBytes());
            assertTrue(status == 200 || status == 503, "status " + status);
            served += status == 200 ? 1 : 0;
        }
        long limit = MAX_ADMITTED_BYTES + (long) CLIENTS * READ_BYTES;
        assertTrue(maxBytes <= limit, maxBytes + " bytes were held, " + limit + " are allowed");
        assertTrue(served > 0, "none was served");
        HttpConnection later = rig.client();
        later.write(Rig.get("later", ""));
        assertEquals(200, later.read().status());
    }

    private static String head(String id, String more) {
        return "POST /move/1 HTTP/1.1\r\nHost: p\r\nX-Request-Id: "
                + id
                + "\r\nContent-Length: "
                + BODY_BYTES
                + "\r\n"
                + more
                + "\r\n";
    }

    private HttpConnection startBody(String id) throws IOException {
        HttpConnection client = rig.client();
        client.write(head(id, ""));
        client.write(new byte[SENT_FIRST_BYTES]);
        return client;
    }

    /** A client that gets no 100 response may leave out its body, so its connection must close. */
    @Test
    void aRequestThatExpectsToContinueIsRefusedWithoutItsBodyIfThereIsNoMemory() throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "done"));
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        List<HttpConnection> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS_THAT_FILL_THE_MEMORY; i++) {
            clients.add(startBody("r" + i));
        }
        HttpConnection refused = rig.client();
        refused.write(head("refused", "Expect: 100-continue\r\n"));
        HttpConnection.Message response = refused.read();
        assertEquals(503, response.status());
        assertEquals("close", response.header("connection"));
        for (HttpConnection client : clients) {
            client.write(new byte[BODY_BYTES - SENT_FIRST_BYTES]);
            client.read();
        }
    }

    /**
     * Guards against responses that are held without a limit: each of many backends sends a part of
     * a response that could be kept, and none of them goes on until all have.
     */
    @Test
    void theResponsesOfManyBackendsAreHeldWithinTheLimitAndEachIsComplete() throws Exception {
        CountDownLatch allStarted = new CountDownLatch(CLIENTS);
        byte[] start = new byte[RESPONSE_START_BYTES];
        byte[] end = new byte[RESPONSE_BYTES - RESPONSE_START_BYTES];
        ScriptedServer backend =
                rig.backend(
                        (connection, request) -> {
                            connection.write(
                                    "HTTP/1.1 200 OK\r\nContent-Length: "
                                            + RESPONSE_BYTES
                                            + "\r\n\r\n");
                            connection.write(start);
                            allStarted.countDown();
                            allStarted.await();
                            connection.write(end);
                        });
        rig.start(Rig.entry("s", backend.address(), "SERVING"));
        List<HttpConnection> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            HttpConnection client = rig.client();
            client.write(Rig.get("r" + i, ""));
            clients.add(client);
        }
        long maxBytes = 0;
        while (!allStarted.await(1, TimeUnit.MILLISECONDS)) {
            maxBytes = Math.max(maxBytes, rig.proxy().bufferedBytes());
        }
        for (HttpConnection client : clients) {
            maxBytes = Math.max(maxBytes, rig.proxy().bufferedBytes());
            assertEquals(RESPONSE_BYTES, client.read().body().length);
        }
        long limit = MAX_ADMITTED_BYTES + (long) CLIENTS * READ_BYTES;
        assertTrue(maxBytes <= limit, maxBytes + " bytes were held, " + limit + " are allowed");
    }
}
