package org.bulrushwheel.logging;

import java.util.Locale;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import org.slf4j.LoggerFactory;

/**
 * Where and in which form a process writes its log.
 *
 * <p>The environment decides; a process that serves defaults to JSON lines on standard output, a command to plain lines
 * on standard error, so that its own output stays apart. Immutable and thread safe.
 *
 * @param json whether a line is a JSON object
 * @param toStandardOutput whether lines go to standard output
 * @param level least level that is written
 */
public record LogOutput(boolean json, boolean toStandardOutput, Level level) {
    private static final String FORMAT = "BULRUSHWHEEL_LOG_FORMAT";
    private static final String LEVEL = "BULRUSHWHEEL_LOG_LEVEL";
    private static final String SERVES = "bulrushwheel.serves";
    private static final String JSON = "JSON";

    /** Says that this process serves; to be called before the first logger is made. */
    public static void ofServingProcess() {
        System.setProperty(SERVES, Boolean.TRUE.toString());
    }

    /** Sets the form of lines, plain or json; to be called before the first logger is made. */
    public static void useFormat(String format) {
        System.setProperty(FORMAT, format.toUpperCase(Locale.ROOT));
    }

    /** Writes what waits to be written; nothing is logged afterwards. */
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

    private static String setting(String name, String otherwise) {
        String property = System.getProperty(name);
        if (property != null) {
            return property;
        }
        String variable = System.getenv(name);
        return variable == null ? otherwise : variable;
    }
}
