import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One proxy, one backend whose answers have 200 kB. The backend takes a request, gives the first half of
 * its answer, hangs for 12 s, and gives the rest.
 */
final class Case10 {

    private static final int ANSWER_BYTES = 200_000;
    private static final long HANG_MS = 12_000;
    private static final int REQUESTS = 5;

    private record Answer(String id, int status, int bytes, boolean whole, long tookUs) {}

    private Case10() {}

    public static void main(String[] args) throws Exception {
        Kit.main(args, Case10::run);
    }

    private static byte[] answerTo(String id) {
        byte[] body = new byte[ANSWER_BYTES];
        Arrays.fill(body, (byte) '.');
        byte[] start = ("answer to " + id).getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(start, 0, body, 0, start.length);
        return body;
    }

    private static boolean run(Kit kit) throws Exception {
        long hangMs = kit.trouble ? HANG_MS : 100;
        List<String> given = new CopyOnWriteArrayList<>();
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        Backend.daemon(
                () -> {
                    while (true) {
                        try {
                            Socket socket = listener.accept();
                            Backend.daemon(() -> serve(kit, socket, hangMs, given));
                        } catch (IOException failed) {
                            kit.note("accept failed: " + failed);
                        }
                    }
                });
        Discovery discovery = new Discovery(kit);
        discovery.set("b1", listener.getLocalPort(), "SERVING");
        Proxy proxy = new Proxy(kit, "proxy1");
        proxy.configure(discovery.port, "on_request", 1, 0, discovery.list(true, 0));
        proxy.start(discovery.port);
        proxy.awaitReady();
        Thread.sleep(1_000);

        List<Answer> answers = new CopyOnWriteArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Backend.daemon(() -> answers.add(ask(kit, proxy.port)));
            Thread.sleep(200);
        }
        Thread.sleep(hangMs + 8_000);
        kit.noteLog(proxy.name, "aborted", "no more data");
        for (String line : given) {
            kit.note(line);
        }
        if (answers.size() < REQUESTS) {
            kit.note((REQUESTS - answers.size()) + " requests have no answer yet");
        }
        return answers.size() == REQUESTS && answers.stream().allMatch(Answer::whole);
    }

    private static void serve(Kit kit, Socket socket, long hangMs, List<String> given) {
        try (socket) {
            socket.setTcpNoDelay(true);
            HttpReader reader = new HttpReader(socket.getInputStream());
            while (reader.readHead()) {
                reader.readBody(false);
                String id = reader.headers.get("x-request-id");
                kit.note("b1 runs " + id);
                Thread.sleep(20);
                byte[] body = answerTo(id);
                OutputStream out = socket.getOutputStream();
                out.write(
                        ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                out.write(body, 0, body.length / 2);
                out.flush();
                kit.note("b1 has given the first half of its answer to " + id);
                Thread.sleep(hangMs);
                out.write(body, body.length / 2, body.length - body.length / 2);
                out.flush();
                kit.note("b1 has given the rest of its answer to " + id);
            }
        } catch (IOException | InterruptedException ended) {
            given.add("b1 could not give the rest of an answer: " + ended);
        }
    }

    private static Answer ask(Kit kit, int port) {
        String id = Client.newId();
        long sentUs = Kit.nowUs();
        int status = 0;
        byte[] body = {};
        String end = "";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(40_000);
            socket.getOutputStream()
                    .write(
                            Client.head(id, "policy-lookup", 1_500, 0)
                                    .getBytes(StandardCharsets.US_ASCII));
            HttpReader reader = new HttpReader(socket.getInputStream());
            if (reader.readHead()) {
                status = Integer.parseInt(reader.startLine.split(" ")[1]);
                body = reader.readBody(true);
            }
        } catch (IOException cut) {
            end = cut.toString();
        }
        Answer answer =
                new Answer(
                        id,
                        status,
                        body.length,
                        status == 200 && Arrays.equals(body, answerTo(id)),
                        Kit.nowUs() - sentUs);
        kit.note((answer.whole() ? "answered whole: " : "LOST: ") + answer + " " + end);
        return answer;
    }
}
