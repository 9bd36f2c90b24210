import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One proxy, twelve backends whose answers have 200 kB. One backend hangs for 12 s: it takes requests, gives
 * the first half of each answer, and the rest when the 12 s are over.
 */
final class Case10 {

    private static final int ANSWER_BYTES = 200_000;
    private static final long HANG_MS = 12_000;
    private static final int BACKENDS = 12;
    private static final int REQUESTS = 60;
    private static final long PERIOD_MS = 25;

    private record Answer(String id, int status, int bytes, boolean whole, long tookUs) {}

    /** The requests whose backend went on to the rest of the answer; it ended no connection before. */
    private static final Set<String> RESTS_GIVEN = ConcurrentHashMap.newKeySet();

    private static volatile long hangEndsUs;

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
        Discovery discovery = new Discovery(kit);
        for (int i = 1; i <= BACKENDS; i++) {
            String name = "b" + i;
            boolean hangs = kit.trouble && i == 1;
            ServerSocket listener = new ServerSocket();
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
            Backend.daemon(
                    () -> {
                        while (true) {
                            try {
                                Socket socket = listener.accept();
                                Backend.daemon(() -> serve(kit, name, socket, hangs));
                            } catch (IOException failed) {
                                kit.note("accept failed: " + failed);
                            }
                        }
                    });
            discovery.set(name, listener.getLocalPort(), "SERVING");
        }
        Proxy proxy = new Proxy(kit, "proxy1");
        proxy.configure(discovery.port, "on_request", 1, 0, discovery.list(true, 0));
        proxy.start(discovery.port);
        proxy.awaitReady();
        Thread.sleep(1_000);

        hangEndsUs = Kit.nowUs() + HANG_MS * 1_000;
        kit.note(kit.trouble ? "b1 hangs for " + HANG_MS + " ms" : "no backend hangs");
        List<Answer> answers = new CopyOnWriteArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Backend.daemon(() -> answers.add(ask(kit, proxy.port)));
            Thread.sleep(PERIOD_MS);
        }
        Thread.sleep(HANG_MS + 6_000);
        kit.noteLog(proxy.name, "aborted", "no more data");
        long whole = answers.stream().filter(Answer::whole).count();
        long cut = answers.stream().filter(a -> a.status() == 200 && !a.whole()).count();
        kit.note(
                answers.size() + " of " + REQUESTS + " requests have ended: " + whole
                        + " answered whole, " + cut + " cut off");
        if (whole == 0) {
            throw new Kit.NotRun("no request was served");
        }
        // Lost is an answer that the proxy cut off while its backend still had the rest to give, and gave it.
        long lost =
                answers.stream()
                        .filter(a -> a.status() == 200 && !a.whole())
                        .filter(a -> RESTS_GIVEN.contains(a.id()))
                        .count();
        kit.note(lost + " of those that were cut off were given to the end by their backend");
        if (lost == 0 && answers.size() < REQUESTS) {
            throw new Kit.NotRun("some requests have not ended");
        }
        return lost == 0;
    }

    private static void serve(Kit kit, String name, Socket socket, boolean hangs) {
        String id = "";
        try (socket) {
            socket.setTcpNoDelay(true);
            HttpReader reader = new HttpReader(socket.getInputStream());
            while (reader.readHead()) {
                reader.readBody(false);
                id = reader.headers.get("x-request-id");
                kit.detail(Kit.nowUs(), name + " runs " + id);
                Thread.sleep(20);
                byte[] body = answerTo(id);
                OutputStream out = socket.getOutputStream();
                out.write(
                        ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                out.write(body, 0, body.length / 2);
                out.flush();
                if (hangs) {
                    kit.note(name + " has given the first half of its answer to " + id);
                    Thread.sleep(Math.max(0, (hangEndsUs - Kit.nowUs()) / 1_000));
                }
                RESTS_GIVEN.add(id);
                out.write(body, body.length / 2, body.length - body.length / 2);
                out.flush();
                if (hangs) {
                    kit.note(name + " has given the rest of its answer to " + id);
                }
            }
        } catch (IOException | InterruptedException ended) {
            kit.note(name + " could not give the rest of its answer to " + id + ": " + ended);
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
        if (answer.whole()) {
            kit.detail(Kit.nowUs(), "answered whole: " + answer);
        } else {
            kit.note((status == 200 ? "LOST: " : "not served: ") + answer + " " + end);
        }
        return answer;
    }
}
