package passhatch.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import passhatch.proxy.HttpConnection.Message;

/** A minimal backend or discovery service on loopback that handles each request by a script. */
public final class ScriptedServer implements Closeable {

    /** Handles one request. */
    public interface Script {
        void handle(HttpConnection connection, Message request)
                throws IOException, InterruptedException;
    }

    /** Leaves the request without a response. */
    public static final Script NO_RESPONSE = (connection, request) -> {};

    public final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
    final BlockingQueue<HttpConnection> endedConnections = new LinkedBlockingQueue<>();
    public final AtomicInteger connections = new AtomicInteger();
    private final ServerSocket listener;
    private final Script script;
    private volatile Runnable headAction = () -> {};
    private volatile String earlyResponse;

    public ScriptedServer(Script script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemon(this::accept);
    }

    /** Returns a backend that sends the same text as the response to every request. */
    public static ScriptedServer respondingWith(String text) throws IOException {
        return new ScriptedServer((connection, request) -> connection.respond("200 OK", text));
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the next request received. */
    public Message nextRequest() throws InterruptedException {
        Message message = received.poll(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (message == null) {
            throw new AssertionError("no request was received");
        }
        return message;
    }

    /** Waits until the peer has closed a connection. */
    public void awaitConnectionEnd() throws InterruptedException {
        if (endedConnections.poll(HttpConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS) == null) {
            throw new AssertionError("no connection was closed");
        }
    }

    /** Runs an action as soon as the head of a request has been read. */
    void setHeadAction(Runnable action) {
        headAction = action;
    }

    /** Sends a response at the head of a request, before its body is read. */
    void respondAtHead(String response) {
        earlyResponse = response;
    }

    private void headReceived(HttpConnection connection) throws IOException {
        headAction.run();
        if (earlyResponse != null) {
            connection.write(earlyResponse);
        }
    }

    private void accept() {
        try {
            while (true) {
                HttpConnection connection = new HttpConnection(listener.accept());
                connections.incrementAndGet();
                startDaemon(() -> serve(connection));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(HttpConnection connection) {
        try {
            connection.setHeadListener(() -> headReceived(connection));
            for (Message m = connection.read(); m != null; m = connection.read()) {
                received.add(m);
                script.handle(connection, m);
            }
        } catch (IOException | InterruptedException broken) {
            // Tests check what was received, not how connections fail.
        }
        endedConnections.add(connection);
    }

    static void startDaemon(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
