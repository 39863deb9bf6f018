package org.bulrushwheel.cli;

import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Counts the quickstart's requests by zone and service.
 *
 * <p>Not thread safe.
 */
final class QuickstartTable {
    private static final double NANOS_PER_MILLI = 1e6;

    private static final class Row {
        private final Histogram latencyNanos = new Histogram(3);
        private int sent;
        private int answered;
        private int refused;
    }

    private final Map<String, Row> rows = new TreeMap<>();

    void add(String zone, String service, int status, long latencyNanos) {
        Row row = rows.computeIfAbsent(zone + " " + service, key -> new Row());
        row.sent++;
        row.latencyNanos.recordValue(latencyNanos);
        if (status >= 200 && status < 300) {
            row.answered++;
        } else {
            row.refused++;
        }
    }

    int sent() {
        return rows.values().stream().mapToInt(row -> row.sent).sum();
    }

    int answered() {
        return rows.values().stream().mapToInt(row -> row.answered).sum();
    }

    int failed() {
        return sent() - answered();
    }

    void print(PrintStream out) {
        out.printf(
                "%-28s %6s %9s %8s %8s %8s%n", "zone and service", "sent", "answered", "refused", "p50 ms", "p99 ms");
        rows.forEach((name, row) -> out.printf(
                "%-28s %6d %9d %8d %8.2f %8.2f%n",
                name,
                row.sent,
                row.answered,
                row.refused,
                row.latencyNanos.getValueAtPercentile(50) / NANOS_PER_MILLI,
                row.latencyNanos.getValueAtPercentile(99) / NANOS_PER_MILLI));
    }
}
