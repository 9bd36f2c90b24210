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
 * The entry point of the program. The commands that the platform runs are recognized here without
 * the library picocli. They have no options, and on half a core there is no time to load a library
 * at startup. All other commands are parsed by {@link Commands}.
 */
public final class Main {

    private Main() {}

    /** Runs the command that the arguments name, and exits with its exit code. */
    public static void main(String[] args) throws Exception {
        if (args.length != 1 || !args[0].equals("adapter")) {
            // By default, Netty would find the agent's logging library in the jar, and a proxy
            // would load that library and log through it.
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
