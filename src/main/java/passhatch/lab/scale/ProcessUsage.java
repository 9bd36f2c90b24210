package passhatch.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The resources that a process uses, as read from {@code /proc} at one moment.
 *
 * @param residentKb resident memory, in kilobytes
 * @param proportionalKb proportional set size: resident memory, with each shared page divided among
 *     the processes that share it; null if the kernel does not report it
 * @param processorSeconds user and system time in seconds since the start of the process
 */
record ProcessUsage(long residentKb, Long proportionalKb, int threads, double processorSeconds) {

    /**
     * Number of clock ticks per second, which is the same on all current Linux systems. The file
     * {@code stat} gives times in clock ticks.
     */
    private static final double TICKS_PER_SECOND = 100;

    /** Index of the user time among the fields of {@code stat} that follow the command's name. */
    private static final int USER_TIME_INDEX = 11;

    /** Index of the system time among the fields of {@code stat} that follow the command's name. */
    private static final int SYSTEM_TIME_INDEX = 12;

    /**
     * Reads the resources that a process uses now.
     *
     * @throws IOException if the process has ended
     */
    static ProcessUsage read(long pid) throws IOException {
        Path folder = Path.of("/proc", String.valueOf(pid));
        List<String> status = Files.readAllLines(folder.resolve("status"));
        Long resident = findNumberAfter(status, "VmRSS:");
        Long threads = findNumberAfter(status, "Threads:");
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
            return findNumberAfter(Files.readAllLines(folder.resolve("smaps_rollup")), "Pss:");
        } catch (IOException unavailable) {
            return null;
        }
    }

    /**
     * Returns the number that follows a label at the start of a line; null if no line starts with
     * the label.
     */
    private static Long findNumberAfter(List<String> lines, String label) {
        return lines.stream()
                .filter(line -> line.startsWith(label))
                .map(line -> Long.valueOf(line.substring(label.length()).strip().split("\\s+")[0]))
                .findFirst()
                .orElse(null);
    }

    /**
     * Returns the sum of user and system time in seconds, parsed from {@code stat}. The command's
     * name is in parentheses in that text and may contain spaces.
     */
    static double processorSeconds(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 1).strip().split("\\s+");
        return (Long.parseLong(fields[USER_TIME_INDEX]) + Long.parseLong(fields[SYSTEM_TIME_INDEX]))
                / TICKS_PER_SECOND;
    }
}
