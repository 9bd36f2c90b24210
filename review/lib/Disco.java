import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for discovery, as PROTOCOL-loftward.md describes it: the whole list, and watches with an
 * empty line every 2 s. It can be crowded: then calls wait in its queue, and many end in 503.
 */
final class Disco implements AutoCloseable {
    private final Rec rec;
    private final ServerSocket listener;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Long> versions = new LinkedHashMap<>();
    private final Map<String, String> deleted = new LinkedHashMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private long index = 1;
    private final LinkedBlockingQueue<Ticket> queue = new LinkedBlockingQueue<>();
    private volatile boolean crowded;
    private volatile boolean closed;

    Disco(Rec rec) throws IOException {
        this.rec = rec;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start("disco", this::accept);
        Threads.start("disco-beat", this::beat);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Adds or changes a backend, and writes the change to all watches. */
    synchronized void set(String name, String address, String zone, int group, String status) {
        index++;
        String entry =
                "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                        + "\",\"type\":\"" + Deployment.KIND + "\",\"group\":" + group
                        + ",\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":0}";
        if (status.equals("DELETED")) {
            entries.remove(name);
        } else {
            entries.put(name, entry);
        }
        versions.put(name, index);
        deleted.put(name, status.equals("DELETED") ? entry : null);
        rec.line("discovery: version " + index + ": " + name + " " + status);
        broadcast(message(false, List.of(entry)));
    }

    synchronized String known() {
        return message(true, List.copyOf(entries.values())).strip();
    }

    private String message(boolean whole, List<String> list) {
        return "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":["
                + String.join(",", list) + "]}\n";
    }

    /** Ends all open watches with a reset. */
    void endWatches() {
        rec.line("discovery: the open watches are reset");
        List<Socket> open;
        synchronized (this) {
            open = List.copyOf(watches);
            watches.clear();
        }
        open.forEach(Disco::reset);
    }

    /**
     * From now on other callers ask this many times a second. Calls are handled one after another,
     * each for the given time; one that has waited for too long ends in 503.
     */
    void beginCrowd(int otherCallsPerS, double handlingMs, double maxWaitMs) {
        rec.line(
                String.format(
                        "discovery: %d other calls a second, of %.1f that it can handle",
                        otherCallsPerS, 1000 / handlingMs));
        crowded = true;
        Threads.start(
                "disco-others",
                () -> {
                    while (crowded) {
                        queue.add(new Ticket());
                        Threads.sleep(1000.0 / otherCallsPerS);
                    }
                });
        Threads.start(
                "disco-worker",
                () -> {
                    while (crowded) {
                        Ticket ticket = queue.poll(100, TimeUnit.MILLISECONDS);
                        if (ticket == null) {
                            continue;
                        }
                        if ((System.nanoTime() - ticket.sinceNs) / 1e6 > maxWaitMs) {
                            ticket.turn.complete(false);
                        } else {
                            Threads.sleep(handlingMs);
                            ticket.turn.complete(true);
                        }
                    }
                    queue.forEach(ticket -> ticket.turn.complete(true));
                });
    }

    void endCrowd() {
        rec.line("discovery: no longer crowded");
        crowded = false;
    }

    /** A call in the queue. */
    private static final class Ticket {
        final long sinceNs = System.nanoTime();
        final CompletableFuture<Boolean> turn = new CompletableFuture<>();
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException alreadyClosed) {
            // Nothing is left to reset.
        }
    }

    private void accept() throws IOException {
        while (!closed) {
            Socket socket = listener.accept();
            Threads.start("disco-call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        Http.Message call = Http.read(socket.getInputStream());
        if (call == null) {
            socket.close();
            return;
        }
        OutputStream out = socket.getOutputStream();
        rec.line("discovery: call " + call.start);
        if (crowded) {
            Ticket ticket = new Ticket();
            queue.add(ticket);
            if (!ticket.turn.join()) {
                rec.line(
                        "discovery: call answered 503, as it waited for "
                                + (System.nanoTime() - ticket.sinceNs) / 1_000_000 + " ms");
                Http.respond(out, 503, "Connection: close\r\n", new byte[0]);
                socket.close();
                return;
            }
        }
        String path = call.start.split(" ")[1];
        if (!path.contains("watch=1")) {
            Http.respond(out, 200, "", known().getBytes(StandardCharsets.UTF_8));
            socket.close();
            return;
        }
        long from = Long.parseLong(path.replaceAll(".*from=(\\d+).*", "$1"));
        synchronized (this) {
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
            List<String> changed = new ArrayList<>();
            for (var version : versions.entrySet()) {
                if (version.getValue() > from) {
                    String entry = entries.get(version.getKey());
                    changed.add(entry != null ? entry : deleted.get(version.getKey()));
                }
            }
            rec.line("discovery: call answered, from " + from + " to " + index);
            writeChunk(socket, message(from == 0, changed));
            watches.add(socket);
        }
    }

    private static void writeChunk(Socket socket, String text) throws IOException {
        socket.getOutputStream()
                .write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
        socket.getOutputStream().flush();
    }

    private synchronized void broadcast(String text) {
        watches.removeIf(
                socket -> {
                    try {
                        writeChunk(socket, text);
                        return false;
                    } catch (IOException gone) {
                        return true;
                    }
                });
    }

    private void beat() {
        while (!closed) {
            Threads.sleep(2000);
            broadcast("\n");
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
