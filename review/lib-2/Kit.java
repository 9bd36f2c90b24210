import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** What the cases share: processes, free ports, calls to control addresses, and the record. */
final class Kit {

    /** Thrown where a case could not run; the script then exits with 2. */
    static final class NotRun extends Exception {
        private static final long serialVersionUID = 1;

        NotRun(String reason) {
            super(reason);
        }
    }

    /** The body of a case. Returns whether the rule held. */
    interface Body {
        boolean run(Kit kit) throws Exception;
    }

    private static final long MAX_SECONDS = 112;
    private static final long START_NS = System.nanoTime();

    final Path temp;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    private Kit(Path temp, PrintWriter record) {
        this.temp = temp;
        this.record = record;
    }

    /** Runs a case: arguments are the temporary folder and the record's file. */
    static void main(String[] args, Body body) throws IOException {
        int status;
        try (PrintWriter record =
                new PrintWriter(Files.newBufferedWriter(Path.of(args[1]), StandardCharsets.UTF_8))) {
            Kit kit = new Kit(Path.of(args[0]), record);
            Runtime.getRuntime().addShutdownHook(new Thread(kit::endAll));
            kit.limitTime();
            try {
                boolean held = body.run(kit);
                status = held ? 0 : 1;
                kit.note(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
            } catch (Throwable failed) {
                kit.note("RESULT: the case could not run: " + failed);
                status = 2;
            }
            kit.endAll();
        }
        System.exit(status);
    }

    /** Ends the case, as one that could not run, if it takes too long. */
    private void limitTime() {
        Thread watchdog =
                new Thread(
                        () -> {
                            try {
                                TimeUnit.SECONDS.sleep(MAX_SECONDS);
                            } catch (InterruptedException interrupted) {
                                return;
                            }
                            note("RESULT: the case could not run: over " + MAX_SECONDS + " s");
                            System.exit(2);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    /** Returns the time since the start of the case, in microseconds. */
    static long nowUs() {
        return (System.nanoTime() - START_NS) / 1_000;
    }

    /** Writes a line to the record and to the standard output. */
    void note(String text) {
        String line = String.format("%9.3f s  %s", nowUs() / 1e6, text);
        synchronized (record) {
            record.println(line);
            record.flush();
        }
        System.out.println(line);
    }

    /** Writes a line to the record only. */
    void detail(long atUs, String text) {
        synchronized (record) {
            record.println(String.format("%9.3f s  %s", atUs / 1e6, text));
        }
    }

    static int freeTcpPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static int freeUdpPort() throws IOException {
        try (DatagramSocket socket =
                new DatagramSocket(new InetSocketAddress("127.0.0.1", 0))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a process whose output goes to a file of the temporary folder. */
    Process start(String name, Map<String, String> env, String... command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(env);
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.add(process);
        note("started " + name + " as process " + process.pid());
        return process;
    }

    /** Sends a signal to a process that this case started. */
    void signal(Process process, String name) throws IOException, InterruptedException {
        note("signal " + name + " to process " + process.pid());
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    String log(String name) throws IOException {
        return Files.readString(temp.resolve(name + ".log"));
    }

    /** Copies the lines of a process's log that contain one of the words into the record. */
    void noteLog(String name, String... words) throws IOException {
        for (String line : log(name).split("\n")) {
            if (Arrays.stream(words).anyMatch(line::contains)) {
                note("log of " + name + ": " + line);
            }
        }
    }

    private void endAll() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Runs a command of the operators and returns its output; its exit status is the first line. */
    String command(String... words) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("java", "-XX:TieredStopAtLevel=1", "-jar"));
        command.add("target/passhatch.jar");
        command.addAll(List.of(words));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        processes.add(process);
        String output =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        int status = process.waitFor();
        processes.remove(process);
        note("passhatch " + String.join(" ", words) + " -> " + status + ": " + output);
        return status + "\n" + output;
    }

    /** Sends one line to a control address; returns the answer, or an empty text without one. */
    static String ask(int port, String call) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
            socket.setSoTimeout(1_000);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            StringBuilder text = new StringBuilder();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                text.append(text.isEmpty() ? "" : "\n").append(line);
            }
            return text.toString();
        } catch (IOException failed) {
            return "";
        }
    }

    /** Something that may become true. */
    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits for a condition; throws if it does not come true in time. */
    static void await(String what, long timeoutMs, Condition condition) throws Exception {
        long endUs = nowUs() + timeoutMs * 1_000;
        while (!condition.holds()) {
            if (nowUs() > endUs) {
                throw new NotRun("not in " + timeoutMs + " ms: " + what);
            }
            Thread.sleep(20);
        }
    }
}
