package passhatch.cli;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import passhatch.adapter.Adapter;
import passhatch.proxy.ProxyServer;
import passhatch.proxy.Rehearsal;

/**
 * Where the program starts. The commands that the platform calls are told apart here by hand: at
 * half a core a start has no time to load a library for options that they do not have. All others
 * are {@link Commands}'.
 */
public final class Main {

    private Main() {}

    /** Runs the command and exits with its status. */
    public static void main(String[] args) throws Exception {
        if (args.length != 1 || !args[0].equals("adapter")) {
            // Else it finds the agent's logging library in the jar, and a proxy would load and
            // write through
            // it.
            InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        }
        int status =
                switch (args.length == 1 ? args[0] : "") {
                    case "serve" -> ProxyServer.serve(System.getenv(), System.err);
                    case "adapter" ->
                            Adapter.run(
                                    new FileInputStream(FileDescriptor.in),
                                    new FileOutputStream(FileDescriptor.out),
                                    System.err);
                    case "rehearse" -> Rehearsal.runAndReport(System.err);
                    default -> Commands.run(args);
                };
        if (status != 0) {
            System.exit(status);
        }
    }
}
