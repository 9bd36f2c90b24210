package passhatch.lab.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;

/** What goes wrong in a run. Each kind lasts for some seconds, and several may run at a time. */
enum Disturbance {
    HEADS_OF_SHORT_FIELDS {
        @Override
        void run(Context context) throws InterruptedException {
            try (Crowd crowd = context.crowd(50, 300)) {
                boolean finished = context.random.nextBoolean();
                crowd.sendHeads(context.random.nextBoolean() ? "a:\r\n" : "ab:cd\r\n", finished);
                context.sleepUntilEnd();
            }
        }
    },
    HALF_REQUESTS {
        @Override
        void run(Context context) throws InterruptedException {
            try (Crowd crowd = context.crowd(50, 300)) {
                crowd.sendHalfRequests(
                        context.between(MIN_LONG_BODY_BYTES, MAX_LONG_BODY_BYTES), context.random);
                context.sleepUntilEnd();
            }
        }
    },
    SLOW_READERS {
        @Override
        void run(Context context) throws InterruptedException {
            try (Crowd crowd = context.crowd(20, 200)) {
                crowd.requestLongResponses(
                        context.between(MIN_LONG_BODY_BYTES, MAX_LONG_BODY_BYTES));
                crowd.readSlowly(context.between(1_000, 10_000), context.endNs);
            }
        }
    },
    UNREAD_ANSWERS {
        @Override
        void run(Context context) throws InterruptedException {
            try (Crowd crowd = context.crowd(1, 3)) {
                crowd.flood(
                        client -> "GET /ready HTTP/1.1\r\nHost: p\r\n\r\n".repeat(50),
                        false,
                        context.endNs);
            }
        }
    },
    TINY_CHUNKS {
        @Override
        void run(Context context) throws InterruptedException {
            try (Crowd crowd = context.crowd(10, 100)) {
                crowd.sendTinyChunks(context.between(1_000, 20_000), "readrate=20000");
                context.sleepUntilEnd();
            }
        }
    },
    LATE_BODIES {
        @Override
        void run(Context context) throws InterruptedException, IOException {
            while (System.nanoTime() < context.endNs) {
                int bytes = context.between(70_000, 260_000);
                String query =
                        "bytes=%d&framing=%s&bodydelay=%d&pause=%d"
                                .formatted(
                                        bytes,
                                        context.pick(AnswerPlan.Framing.values()),
                                        context.between(0, 1_000),
                                        context.between(0, 500));
                ClientRequest request = context.newRequest(RequestKind.LOOKUP);
                request.streamed = true;
                try (ProxyClient client = new ProxyClient(context.testbed.address())) {
                    client.send(request, query, new byte[0]);
                    client.readResponse(request, bytes, LONG_PATIENCE_MS);
                }
            }
        }
    },
    SLOWLY_READ_BODIES {
        @Override
        void run(Context context) throws InterruptedException, IOException {
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < context.between(2, 20); i++) {
                byte[] body = new byte[context.between(70_000, MAX_LONG_BODY_BYTES)];
                String query = "readrate=" + context.between(20_000, 200_000);
                ClientRequest request = context.newRequest(context.pick(RequestKind.values()));
                Thread client = new Thread(() -> exchange(context, request, query, body));
                client.start();
                clients.add(client);
            }
            for (Thread client : clients) {
                client.join();
            }
        }
    },
    LEAVERS {
        @Override
        void run(Context context) throws InterruptedException, IOException {
            while (System.nanoTime() < context.endNs) {
                Leaver leaver = new Leaver(context);
                leaver.sendRowAndLeave();
                Thread.sleep(context.between(1, 50));
            }
        }
    },
    RETURNING_CLIENTS {
        @Override
        void run(Context context) throws InterruptedException, IOException {
            while (System.nanoTime() < context.endNs) {
                new Leaver(context).leaveAndSendAgain();
            }
        }
    },
    STOPS {
        @Override
        void run(Context context) throws InterruptedException, IOException {
            while (System.nanoTime() < context.endNs) {
                context.testbed.process().signal("STOP");
                Thread.sleep(context.between(50, 600));
                context.testbed.process().signal("CONT");
                Thread.sleep(context.between(100, 1_000));
            }
        }
    },
    RELOADS {
        @Override
        void run(Context context) throws InterruptedException, IOException {
            while (System.nanoTime() < context.endNs) {
                context.testbed.process().signal("HUP");
                Thread.sleep(context.between(20, 400));
            }
        }
    };

    private static final int MIN_LONG_BODY_BYTES = 100_000;
    private static final int MAX_LONG_BODY_BYTES = 2_000_000;
    private static final int LONG_PATIENCE_MS = 12_000;

    /** Runs until the end of the context. */
    abstract void run(Context context) throws InterruptedException, IOException;

    private static void exchange(
            Context context, ClientRequest request, String query, byte[] body) {
        try (ProxyClient client = new ProxyClient(context.testbed.address())) {
            client.send(request, query, body);
            client.readResponse(request, 0, LONG_PATIENCE_MS);
        } catch (IOException refused) {
            request.connectionLost = true;
        }
    }

    /** What a disturbance works with. */
    static final class Context {
        final ProxyTestbed testbed;
        final UniformRandomProvider random;
        final long endNs;
        private final String name;
        private int lastId;

        Context(ProxyTestbed testbed, UniformRandomProvider random, String name, long endNs) {
            this.testbed = testbed;
            this.random = random;
            this.name = name;
            this.endNs = endNs;
        }

        int between(int least, int most) {
            return random.nextInt(least, most + 1);
        }

        <T> T pick(T[] values) {
            return values[random.nextInt(values.length)];
        }

        Crowd crowd(int least, int most) {
            return new Crowd(testbed, name).connect(between(least, most));
        }

        ClientRequest newRequest(RequestKind kind) {
            return testbed.records.newRequest(name + "-r" + lastId++, kind, kind.deadlineMs);
        }

        void sleepUntilEnd() throws InterruptedException {
            TimeUnit.NANOSECONDS.sleep(Math.max(0, endNs - System.nanoTime()));
        }
    }
}
