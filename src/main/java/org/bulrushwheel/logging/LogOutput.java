package org.bulrushwheel.logging;

import java.util.Locale;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import org.slf4j.LoggerFactory;

/**
 * Destination, format and level of a process's log.
 *
 * <p>Format and level come from system properties or environment variables. A server process logs to standard output, as
 * JSON lines by default; a command logs to standard error, as plain lines by default, so that its log does not mix with its
 * own output. Immutable and thread safe.
 *
 * @param json whether each line is a JSON object
 * @param toStandardOutput whether lines go to standard output instead of standard error
 * @param level lowest level that is logged
 */
public record LogOutput(boolean json, boolean toStandardOutput, Level level) {
    private static final String FORMAT = "BULRUSHWHEEL_LOG_FORMAT";
    private static final String LEVEL = "BULRUSHWHEEL_LOG_LEVEL";
    private static final String SERVES = "bulrushwheel.serves";
    private static final String JSON = "JSON";

    /** Marks this process as a server process; must be called before the first logger is created. */
    public static void ofServingProcess() {
        System.setProperty(SERVES, Boolean.TRUE.toString());
    }

    /** Sets the line format, plain or json; must be called before the first logger is created. */
    public static void useFormat(String format) {
        System.setProperty(FORMAT, format.toUpperCase(Locale.ROOT));
    }

    /** Flushes the queued lines and stops logging; later lines are discarded. */
    public static void close() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }

    static LogOutput ofProcess() {
        boolean serves = Boolean.getBoolean(SERVES);
        String format = setting(FORMAT, serves ? JSON : "PLAIN");
        return new LogOutput(
                JSON.equalsIgnoreCase(format), serves, Level.toLevel(setting(LEVEL, Level.INFO.toString())));
    }

    private static String setting(String name, String defaultValue) {
        String property = System.getProperty(name);
        if (property != null) {
            return property;
        }
        String variable = System.getenv(name);
        return variable == null ? defaultValue : variable;
    }
}
