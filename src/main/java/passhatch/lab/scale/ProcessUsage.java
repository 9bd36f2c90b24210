package passhatch.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What a process uses at a moment, as the kernel's files under {@code /proc} tell it.
 *
 * @param residentKb its resident memory
 * @param proportionalKb the same with shared pages divided among their users; null where the kernel
 *     does not tell
 * @param processorSeconds user and system time since its start
 */
record ProcessUsage(long residentKb, Long proportionalKb, int threads, double processorSeconds) {

    /** The kernel's unit of times in {@code stat}, the same on all Linux systems of today. */
    private static final double TICKS_PER_SECOND = 100;

    /** Places of utime and stime, counted from the field after the command's name. */
    private static final int USER_TIME_INDEX = 11;

    private static final int SYSTEM_TIME_INDEX = 12;

    /**
     * Reads it.
     *
     * @throws IOException where the process has ended
     */
    static ProcessUsage of(long pid) throws IOException {
        Path folder = Path.of("/proc", String.valueOf(pid));
        List<String> status = Files.readAllLines(folder.resolve("status"));
        Long resident = numberAfter(status, "VmRSS:");
        Long threads = numberAfter(status, "Threads:");
        if (resident == null || threads == null) {
            throw new IOException("process " + pid + " has ended");
        }
        return new ProcessUsage(
                resident,
                readProportionalKb(folder),
                threads.intValue(),
                processorSeconds(Files.readString(folder.resolve("stat"))));
    }

    private static Long readProportionalKb(Path folder) {
        try {
            return numberAfter(Files.readAllLines(folder.resolve("smaps_rollup")), "Pss:");
        } catch (IOException unavailable) {
            return null;
        }
    }

    /** The number after a label; null where there is no such line. */
    private static Long numberAfter(List<String> lines, String label) {
        return lines.stream()
                .filter(line -> line.startsWith(label))
                .map(line -> Long.valueOf(line.substring(label.length()).strip().split("\\s+")[0]))
                .findFirst()
                .orElse(null);
    }

    /** The command's name stands in parentheses and may hold spaces. */
    static double processorSeconds(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 1).strip().split("\\s+");
        return (Long.parseLong(fields[USER_TIME_INDEX]) + Long.parseLong(fields[SYSTEM_TIME_INDEX]))
                / TICKS_PER_SECOND;
    }
}
