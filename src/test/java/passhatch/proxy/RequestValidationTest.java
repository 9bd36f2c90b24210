package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static passhatch.proxy.Rig.up;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that malformed requests are rejected and nothing of them is forwarded. */
@Timeout(60)
final class RequestValidationTest {

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

    /** After a malformed head the start of the next request is unknown. */
    @Test
    void malformedHttpIsRejectedAndTheConnectionClosed() throws Exception {
        rig.start();
        HttpConnection client = rig.client();
        client.write("GET /board HTTP/9.x\r\nbad\r\n\r\n");
        assertEquals(400, client.read().status());
        assertNull(client.read());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    404 | GET /nothing HTTP/1.1           | X-Deadline: 800m
                    404 | GET / HTTP/1.1                  | X-Deadline: 800m
                    400 | POST /board HTTP/1.1            | X-Deadline: 800m
                    400 | POST /buy HTTP/1.1              | X-Deadline: 800m
                    400 | GET /board HTTP/1.1             | X-Deadline: soon
                    400 | GET /board HTTP/1.1             | X-Deadline: 800
                    400 | GET /board HTTP/1.1             | X-Deadline: -5m
                    400 | GET /board HTTP/1.1             | X-Tenant: nobody
                    413 | POST /move HTTP/1.1             | Content-Length: 33554433
                    """)
    void rejectsMalformedRequestsAndSendsNothing(int status, String start, String header)
            throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", ""));
        rig.start(up("s", backend));
        assertEquals(
                status,
                rig.send(start + "\r\nHost: p\r\nX-Request-Id: bad\r\n" + header + "\r\n\r\n")
                        .status());
        assertEquals(200, rig.send(Rig.get("good", "")).status());
        assertEquals("good", backend.nextRequest().header("X-Request-Id"));
        assertTrue(backend.received.isEmpty());
    }

    /** The body is neither awaited nor read. */
    @Test
    void aBodyThatIsTooLargeIsRejectedFromItsContentLength() throws Exception {
        rig.start();
        HttpConnection peer = rig.client();
        peer.write(
                "POST /move HTTP/1.1\r\n"
                        + "Host: p\r\n"
                        + "X-Request-Id: r\r\n"
                        + "Content-Length: 60000000\r\n\r\n");
        assertEquals(413, peer.read().status());
        assertNull(peer.read());
    }

    @Test
    void anIdStillInUseIsRejected() throws Exception {
        ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
        rig.start(up("s", backend));
        rig.client().write(Rig.get("same", ""));
        backend.nextRequest();
        assertEquals(400, rig.send(Rig.get("same", "")).status());
        assertTrue(backend.received.isEmpty());
    }

    /**
     * The name of a class may be any text; it is percent-encoded where a path must not contain it.
     */
    @ParameterizedTest
    @CsvSource({"a class/ä+%, /a%20class%2F%C3%A4%2B%25/7", "board, /%62oard", "b+c, /b+c/1"})
    void acceptsAnEscapedClassName(String name, String path) throws Exception {
        ScriptedServer backend =
                rig.backend((connection, request) -> connection.respond("200 OK", "x"));
        rig.safeClass(name).start(up("s", backend));
        assertEquals(
                200,
                rig.send("GET " + path + " HTTP/1.1\r\nHost: p\r\nX-Request-Id: r\r\n\r\n")
                        .status());
        assertTrue(
                backend.nextRequest().startLine().contains(path),
                "the path is forwarded unchanged");
        assertEquals(
                404,
                rig.send("GET /%zz/1 HTTP/1.1\r\nHost: p\r\nX-Request-Id: s\r\n\r\n").status());
    }
}
