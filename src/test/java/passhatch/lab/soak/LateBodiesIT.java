package passhatch.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Responses whose body begins late or pauses. */
class LateBodiesIT extends ProxyProcessCase {

    private static final int PATIENCE_MS = 15_000;

    /** A response of some length, the delay of its body and a pause after half of the body. */
    private record Case(int bytes, AnswerPlan.Framing framing, int delayMs, int pauseMs) {
        String query() {
            return "bytes=%d&framing=%s&bodydelay=%d&pause=%d"
                    .formatted(bytes, framing, delayMs, pauseMs);
        }
    }

    private static final List<Case> CASES =
            List.of(
                    new Case(100_000, AnswerPlan.Framing.LENGTH, 250, 0),
                    new Case(100_000, AnswerPlan.Framing.CHUNKED, 400, 0),
                    new Case(260_000, AnswerPlan.Framing.CLOSE, 1_000, 0),
                    new Case(200_000, AnswerPlan.Framing.LENGTH, 0, 4_500),
                    new Case(200_000, AnswerPlan.Framing.CHUNKED, 1_000, 7_000),
                    new Case(200_000, AnswerPlan.Framing.LENGTH, 0, 12_000));

    /** Guards against a body that begins after its response is streamed and is never passed on. */
    @Test
    void aBodyThatBeginsLateIsPassedOn() throws Exception {
        startProxy(144);
        List<Thread> clients = new ArrayList<>();
        for (Case late : CASES) {
            String id = "late-" + CASES.indexOf(late);
            ClientRequest request = testbed.records.newRequest(id, RequestKind.LOOKUP, 1_500);
            Thread client = new Thread(() -> exchange(late, request));
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        List<String> notIntact =
                testbed.records.requests.stream()
                        .filter(request -> !request.bodyIntact)
                        .map(request -> request.id)
                        .toList();
        assertEquals(List.of(), notIntact);
    }

    private void exchange(Case late, ClientRequest request) {
        try (ProxyClient client = new ProxyClient(testbed.address())) {
            client.send(request, late.query(), new byte[0]);
            client.readResponse(request, late.bytes(), PATIENCE_MS);
        } catch (IOException refused) {
            request.connectionLost = true;
        }
    }
}
