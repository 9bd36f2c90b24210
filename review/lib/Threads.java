/** Starts daemon threads whose input and output errors end only that thread. */
final class Threads {
    private Threads() {}

    interface Body {
        void run() throws Exception;
    }

    static Thread start(String name, Body body) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                body.run();
                            } catch (java.io.IOException ended) {
                                // The peer has gone, or the stand-in is being closed.
                            } catch (Exception failure) {
                                failure.printStackTrace();
                            }
                        },
                        name,
                        256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(double ms) {
        try {
            java.util.concurrent.TimeUnit.MICROSECONDS.sleep((long) (ms * 1000));
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
