package org.bulrushwheel.logging;

import java.util.List;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures Logback in code: parsing a configuration file would take longer than the rest of a process's start-up.
 *
 * <p>Thread safe: Logback calls it only once.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {
    private static final String PLAIN_LINE =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level [%thread] %logger{0} %msg %kvp%n";
    // A process has less than 500 ms to exit in addition to its planned stop time; flushing the log must fit in that.
    private static final long STOP_MILLIS = 300;
    private static final List<String> LIBRARIES = List.of("io.undertow", "org.xnio", "org.jboss", "io.netty");

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        LogOutput output = LogOutput.ofProcess();
        BoundedAppender appender = new BoundedAppender(
                output.json() ? json(context) : plain(context),
                output.toStandardOutput() ? System.out : System.err,
                STOP_MILLIS);
        appender.setContext(context);
        appender.setName("LOG");
        appender.start();
        LIBRARIES.forEach(library -> context.getLogger(library).setLevel(Level.WARN));
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(output.level());
        root.addAppender(appender);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static Encoder<ILoggingEvent> json(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithThreadName(false);
        encoder.setWithContext(false);
        encoder.setWithMarkers(false);
        encoder.setWithMDC(false);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> plain(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PLAIN_LINE);
        encoder.start();
        return encoder;
    }
}
