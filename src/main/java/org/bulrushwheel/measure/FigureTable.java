package org.bulrushwheel.measure;

import java.io.PrintStream;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Prints figures for people or scripts.
 *
 * <p>Stateless and thread safe.
 */
public final class FigureTable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private FigureTable() {}

    /** Prints a table. */
    public static void print(PrintStream out, List<Figure> figures) {
        out.printf("%-58s %-10s %12s %12s %8s %6s%n", "name", "unit", "baseline", "now", "ratio", "seed");
        for (Figure figure : figures) {
            out.printf(
                    "%-58s %-10s %12s %12s %8s %6d%n",
                    figure.name(),
                    figure.unit(),
                    number(figure.baseline()),
                    number(figure.now()),
                    number(figure.ratio()),
                    figure.seed());
        }
    }

    /** Prints JSON. */
    public static void printJson(PrintStream out, List<Figure> figures) {
        try {
            out.println(JSON.writeValueAsString(figures));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write figures as JSON", e);
        }
    }

    private static String number(double value) {
        if (Double.isNaN(value) || Double.isInfinite(value)) {
            return "-";
        }
        return String.format(value >= 1_000 ? "%.0f" : value >= 10 ? "%.1f" : "%.3f", value);
    }
}
