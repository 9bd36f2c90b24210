package passhatch.lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import passhatch.agent.config.InvalidInputException;
import passhatch.store.Entry;
import passhatch.store.FolderDisk;
import passhatch.store.GroupCommit;
import passhatch.store.RecordLog;
import passhatch.store.StoreException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Measures the store in a real folder: the rate of records written by group commits, the rate of
 * single writes that are each forced to disk, and the time to open a filled store.
 */
@Command(
        name = "store-bench",
        mixinStandardHelpOptions = true,
        description =
                "Measures writing to the store and its recovery in a new folder, which is kept.")
final class StoreBench implements Callable<Integer> {

    private static final int PLAIN_WRITE_COUNT = 200;
    private static final int OPEN_COUNT = 15;

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "DIR", description = "A folder that does not exist yet.")
    private Path folder;

    @Option(
            names = "--records",
            defaultValue = "20000",
            description = "How many records to write (${DEFAULT-VALUE}).")
    private int records;

    @Option(
            names = "--bytes",
            defaultValue = "100",
            description = "Size of each record (${DEFAULT-VALUE}).")
    private int bytes;

    @Option(
            names = "--threads",
            defaultValue = "32",
            description = "How many threads write at the same time (${DEFAULT-VALUE}).")
    private int threads;

    @Override
    public Integer call() throws IOException, StoreException, InterruptedException {
        if (Files.exists(folder)) {
            throw new InvalidInputException(folder + ": already exists");
        }
        PrintWriter out = spec.commandLine().getOut();
        out.printf(
                Locale.ROOT,
                "plain write and force of one record: %.0f records a second%n",
                measurePlainWrites());
        out.printf(
                Locale.ROOT,
                "group commit, %d threads: %.0f records a second%n",
                threads,
                measureGroupCommit());
        Histogram openTimesUs = measureOpenTimes();
        out.printf(
                Locale.ROOT,
                "opening a store of %.1f MiB, %d times: median %.1f ms, worst %.1f ms%n",
                storeBytes() / 1048576.0,
                OPEN_COUNT,
                openTimesUs.getValueAtPercentile(50) / 1e3,
                openTimesUs.getMaxValue() / 1e3);
        out.flush();
        return 0;
    }

    private double measurePlainWrites() throws IOException, StoreException {
        try (FolderDisk disk = FolderDisk.open(folder.resolve("plain"))) {
            disk.create("file");
            long startNs = System.nanoTime();
            for (int i = 0; i < PLAIN_WRITE_COUNT; i++) {
                disk.append("file", ByteBuffer.allocate(bytes));
                disk.force("file");
            }
            return PLAIN_WRITE_COUNT / ((System.nanoTime() - startNs) / 1e9);
        }
    }

    private double measureGroupCommit() throws IOException, StoreException, InterruptedException {
        try (GroupCommit groupCommit =
                new GroupCommit(
                        RecordLog.open(
                                FolderDisk.open(folder.resolve("store")), "bench", e -> {}))) {
            long startNs = System.nanoTime();
            List<Thread> writers = new ArrayList<>();
            for (int t = 0; t < threads; t++) {
                writers.add(new Thread(() -> writeRecords(groupCommit)));
            }
            writers.forEach(Thread::start);
            for (Thread writer : writers) {
                writer.join();
            }
            return (double) (records / threads * threads) / ((System.nanoTime() - startNs) / 1e9);
        }
    }

    private void writeRecords(GroupCommit groupCommit) {
        try {
            for (int i = 0; i < records / threads; i++) {
                groupCommit.submit(new Entry(1, new byte[bytes])).join();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private Histogram measureOpenTimes() throws IOException, StoreException {
        Histogram openTimesUs = new Histogram(TimeUnit.MINUTES.toMicros(1), 3);
        for (int i = 0; i < OPEN_COUNT; i++) {
            long startNs = System.nanoTime();
            RecordLog.open(FolderDisk.open(folder.resolve("store")), "bench", e -> {}).close();
            openTimesUs.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs));
        }
        return openTimesUs;
    }

    private long storeBytes() throws IOException {
        try (FolderDisk disk = FolderDisk.open(folder.resolve("store"))) {
            long sum = 0;
            for (String name : disk.list()) {
                sum += disk.size(name);
            }
            return sum;
        } catch (StoreException inUse) {
            throw new IOException(inUse);
        }
    }
}
