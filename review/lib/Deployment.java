import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Starts proxies by the deploy file's run command, each with a configuration of its own. */
final class Deployment implements AutoCloseable {
    static final String KIND = "front-2c";

    private final Rec rec;
    private final Path root;
    private final Path folder;
    private final List<Process> processes = new ArrayList<>();

    Deployment(Rec rec) throws IOException {
        this.rec = rec;
        root = Path.of(System.getProperty("root"));
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    /** Returns a seed for a proxy; each start has a new one. */
    private static String seed() {
        return String.format("%016x", new SplittableRandom().nextLong());
    }

    private String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no run in deploy/balancer.toml");
    }

    /** A running proxy. */
    final class Proxy {
        final String name;
        final String address;
        final Path log;
        private final Path config;
        private final ProcessBuilder builder;
        Process process;

        Proxy(String name, String settings, String limits, String discovery, String known)
                throws IOException {
            this.name = name;
            address = freeAddress();
            Path own = Files.createDirectories(folder.resolve(name));
            Files.createDirectories(own.resolve("tmp"));
            config = own.resolve("config.json");
            log = own.resolve("log");
            Files.writeString(
                    config,
                    "{\"name\":\"" + name + "\",\"listen\":\"" + address + "\",\"discovery\":\""
                            + discovery + "\",\"seed\":\"" + seed() + "\",\"limits\":" + limits
                            + ",\"known\":" + known + ",\"settings\":" + settings + "}");
            builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.directory(root.toFile());
            builder.environment().put("PROXY_NAME", name);
            builder.environment().put("PROXY_LISTEN", address);
            builder.environment().put("PROXY_DISCOVERY", discovery);
            builder.environment().put("PROXY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", own.resolve("tmp").toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        }

        void start() throws IOException {
            process = builder.start();
            processes.add(process);
            rec.line("proxy " + name + " started at " + address + ", pid " + process.pid());
        }

        /** Waits until GET /ready has returned 200. */
        void awaitReady() throws IOException {
            double until = rec.nowMs() + 20_000;
            while (rec.nowMs() < until) {
                try (Client client = new Client(address)) {
                    Client.Answer answer = client.call("GET /ready HTTP/1.1\r\n", null, 1000);
                    if (answer.status == 200) {
                        rec.line("proxy " + name + " is ready");
                        return;
                    }
                } catch (IOException notYet) {
                    // It does not listen yet.
                }
                Threads.sleep(50);
            }
            throw new IOException("proxy " + name + " is not ready:\n" + Files.readString(log));
        }

        /** Returns the exit status if the process has ended, or -1 while it runs. */
        int ended() {
            return process.isAlive() ? -1 : process.exitValue();
        }

        void copyLog(int lines) throws IOException {
            List<String> all = Files.readAllLines(log);
            for (String line : all.subList(0, Math.min(lines, all.size()))) {
                rec.line("log of " + name + ": " + line);
            }
        }
    }

    private void killAll() {
        processes.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }
}
