import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a claims box: it runs each request for its work time on a limited number of slots
 * and answers 200 with a body that names the request and the box.
 */
final class Box implements AutoCloseable {
    /** Decides what is done with a request; may answer in any way. */
    interface Service {
        void serve(Box box, Http.Message request, String id, OutputStream out) throws IOException;
    }

    final String name;
    final AtomicInteger requests = new AtomicInteger();
    private final Rec rec;
    private final ServerSocket listener;
    private final Semaphore slots;
    private final Service service;
    private volatile boolean closed;

    Box(Rec rec, String name, int slots, Service service) throws IOException {
        this.rec = rec;
        this.name = name;
        this.slots = new Semaphore(slots, true);
        this.service = service;
        listener = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        Threads.start(name, this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Occupies a slot for the given time. */
    void work(double ms) {
        slots.acquireUninterruptibly();
        try {
            Threads.sleep(ms);
        } finally {
            slots.release();
        }
    }

    byte[] answerTo(String id) {
        return ("answer of " + name + " to " + id + ".").getBytes(StandardCharsets.UTF_8);
    }

    private void accept() throws IOException {
        while (!closed) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Threads.start(name, () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message m = Http.read(in); m != null; m = Http.read(in)) {
                requests.incrementAndGet();
                String id = m.header("x-request-id");
                rec.line("ran " + id + " at " + name + ", deadline " + m.header("x-deadline"));
                service.serve(this, m, id, out);
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
