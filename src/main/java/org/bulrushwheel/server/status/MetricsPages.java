package org.bulrushwheel.server.status;

import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;

/**
 * Renders the metric registry as a text page for scrapers and as a sorted map for JSON.
 *
 * <p>Thread safe.
 */
public final class MetricsPages {
    private static final String PREFIX = "bulrushwheel_";
    private static final double NANOS_PER_SECOND = 1e9;

    private final MetricRegistry metrics;

    /** Creates pages of a metric registry. */
    public MetricsPages(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** Returns the values of all metrics by name. */
    public Map<String, Number> values() {
        Map<String, Number> values = new TreeMap<>();
        metrics.getMetrics().forEach((name, metric) -> add(values, name, metric));
        return values;
    }

    /** Returns all values in the text exposition format. */
    public String text() {
        StringBuilder page = new StringBuilder();
        values().forEach((name, value) -> page.append(PREFIX)
                .append(name.replaceAll("[^a-zA-Z0-9_]", "_"))
                .append(' ')
                .append(value)
                .append('\n'));
        return page.toString();
    }

    private static void add(Map<String, Number> values, String name, Metric metric) {
        if (metric instanceof Counting counting) {
            values.put(name, counting.getCount());
        }
        if (metric instanceof Gauge<?> gauge && gauge.getValue() instanceof Number number) {
            values.put(name, number);
        }
        if (metric instanceof Sampling sampling) {
            Snapshot snapshot = sampling.getSnapshot();
            values.put(name + ".p50.seconds", snapshot.getMedian() / NANOS_PER_SECOND);
            values.put(name + ".p99.seconds", snapshot.get99thPercentile() / NANOS_PER_SECOND);
        }
    }
}
