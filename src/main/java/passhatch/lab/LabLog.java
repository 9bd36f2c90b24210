package passhatch.lab;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.FileAppender;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the log of the lab tools to a file, one line of JSON per event. */
public final class LabLog {

    private static final String APPENDER_NAME = "file";

    private LabLog() {}

    /** Writes the log to a file from now on and closes the previous file, if any. */
    public static void redirectTo(Path file) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        var root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        var previous = root.getAppender(APPENDER_NAME);
        if (previous != null) {
            root.detachAppender(previous);
            previous.stop();
        }
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.start();
        FileAppender<ILoggingEvent> appender = new FileAppender<>();
        appender.setContext(context);
        appender.setName(APPENDER_NAME);
        appender.setFile(file.toString());
        appender.setEncoder(encoder);
        appender.start();
        root.addAppender(appender);
    }
}
