package passhatch.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import passhatch.agent.config.InvalidInputException;
import passhatch.store.Entry;
import passhatch.store.FolderDisk;
import passhatch.store.Inspection;
import passhatch.store.StoreException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command {@code store} with its subcommands. They read the folder of a store, and fail if
 * another process is using the folder.
 */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = "Inspects the store that a process keeps on disk (docs/recovery.md).")
final class StoreCommand extends CommandGroup {

    static CommandLine commandLine() {
        return new CommandLine(new StoreCommand())
                .addSubcommand(new Verify())
                .addSubcommand(new Dump())
                .addSubcommand(new Salvage());
    }

    /**
     * The base of the subcommands that read the folder of a store and leave its records unchanged.
     */
    private abstract static class ReadOnlySubcommand implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "DIR")
        private Path folder;

        @Override
        public final Integer call() throws IOException, StoreException {
            try (FolderDisk disk = openFolder(folder)) {
                return inspect(disk, spec.commandLine());
            }
        }

        abstract int inspect(FolderDisk disk, CommandLine commandLine) throws StoreException;
    }

    private static FolderDisk openFolder(Path folder) throws IOException, StoreException {
        if (!Files.isDirectory(folder)) {
            throw new InvalidInputException(folder + ": no such folder");
        }
        return FolderDisk.open(folder);
    }

    private static int printReport(Inspection.Report report, PrintWriter out) {
        out.println(
                report.records()
                        + " records, the last is "
                        + report.lastSequence()
                        + ", epoch "
                        + report.epoch());
        report.warnings().forEach(note -> out.println("note: " + note));
        report.damage().forEach(damage -> out.println("DAMAGED: " + damage));
        out.flush();
        return report.damage().isEmpty() ? 0 : Commands.EXIT_FAILURE;
    }

    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description =
                    "Reads a whole store and changes nothing; exit code 1 if something is"
                            + " damaged.")
    private static final class Verify extends ReadOnlySubcommand {
        @Override
        int inspect(FolderDisk disk, CommandLine commandLine) throws StoreException {
            return printReport(Inspection.inspect(disk, entry -> {}), commandLine.getOut());
        }
    }

    @Command(
            name = "dump",
            mixinStandardHelpOptions = true,
            description = "Prints each readable record as a line of JSON, its bytes in Base64.")
    private static final class Dump extends ReadOnlySubcommand {
        @Override
        int inspect(FolderDisk disk, CommandLine commandLine) throws StoreException {
            PrintWriter out = commandLine.getOut();
            Inspection.Report report =
                    Inspection.inspect(disk, entry -> out.println(toJson(entry)));
            out.flush();
            return printReport(report, commandLine.getErr());
        }

        private static String toJson(Entry entry) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("kind", entry.kind());
            fields.put("bytes", Base64.getEncoder().encodeToString(entry.bytes()));
            try {
                return JSON.std.asString(fields);
            } catch (IOException impossible) {
                throw new IllegalStateException(impossible);
            }
        }
    }

    @Command(
            name = "salvage",
            mixinStandardHelpOptions = true,
            description =
                    "Copies the readable records to a new folder; the damaged one stays unchanged.")
    private static final class Salvage implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(index = "0", paramLabel = "DIR")
        private Path folder;

        @Parameters(
                index = "1",
                paramLabel = "TO",
                description = "The new folder, which must not exist yet.")
        private Path newFolder;

        @Option(names = "--owner", required = true, description = "The owner of the new store.")
        private String owner;

        @Override
        public Integer call() throws IOException, StoreException {
            if (Files.exists(newFolder)) {
                throw new InvalidInputException(newFolder + ": already exists");
            }
            try (FolderDisk source = openFolder(folder);
                    FolderDisk target = FolderDisk.open(newFolder)) {
                return printReport(
                        Inspection.salvage(source, target, owner), spec.commandLine().getOut());
            }
        }
    }
}
