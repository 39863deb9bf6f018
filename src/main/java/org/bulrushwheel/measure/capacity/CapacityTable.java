package org.bulrushwheel.measure.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

import org.bulrushwheel.logic.membership.MembershipTimings;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.Heartbeat;
import org.bulrushwheel.model.proto.HeartbeatEcho;

/**
 * Estimates the resource usage of each role at the current and the planned fleet size from measured slopes.
 *
 * <p>Immutable and thread safe.
 */
public final class CapacityTable {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double BYTES_PER_MEGABYTE = 1e6;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double BOUND_BYTES_PER_SECOND = 11_000;
    private static final double BOUND_CORE_PERCENT = 1.1;
    private static final double BOUND_MEGABYTES = 256;
    private static final double BOUND_KEY_MEGABYTES = 128;
    private static final double BYTES_PER_CHANGE = 300;
    private static final double DOCUMENT_BYTES_PER_BLOCK = 45;
    private static final double RENEWALS_PER_SECOND = 2;
    private static final double RESTARTS_PER_DAY = 540;
    private static final double SUMMARY_INTERVAL_SECONDS = 5;
    private static final int RELAYS_PER_ZONE = 2;

    private final Slopes slopes;

    /** Creates a table that is computed from the given slopes. */
    public CapacityTable(Slopes slopes) {
        this.slopes = slopes;
    }

    /** Returns one row per role and quantity, grouped by role. */
    public List<CapacityRow> rows() {
        List<CapacityRow> rows = new ArrayList<>();
        addEntry(rows);
        addEntryMessages(rows);
        addRelay(rows);
        addControl(rows);
        addLedger(rows);
        addBudgetOwner(rows);
        return rows;
    }

    /** Returns the table in the Markdown form that docs/CAPACITY.md contains. */
    public String markdown() {
        StringBuilder table =
                new StringBuilder("| role | quantity | unit | today | planned | bound | met | mechanism |\n"
                        + "|---|---|---|---|---|---|---|---|\n");
        for (CapacityRow row : rows()) {
            table.append(String.format(
                    "| %s | %s | %s | %s | %s | %s | %s | %s |%n",
                    row.role(),
                    row.quantity(),
                    row.unit(),
                    number(row.today()),
                    number(row.planned()),
                    Double.isNaN(row.bound()) ? "-" : number(row.bound()),
                    Double.isNaN(row.bound()) ? "-" : row.isMet() ? "yes" : "NO",
                    row.mechanism()));
        }
        return table.toString();
    }

    private void addEntry(List<CapacityRow> rows) {
        rows.add(row(
                "entry",
                "client block table",
                "MB",
                BOUND_MEGABYTES,
                "sorted ranges",
                fleet -> fleet.clientBlocks() * slopes.value("tableBytesPerBlock") / BYTES_PER_MEGABYTE));
        rows.add(row(
                "entry",
                "blocks as parsed objects",
                "MB",
                BOUND_MEGABYTES,
                "configuration in force",
                fleet -> fleet.clientBlocks() * slopes.value("configurationBytesPerBlock") / BYTES_PER_MEGABYTE));
        rows.add(row(
                "entry",
                "decisions of look-ups",
                "% of core",
                Double.NaN,
                "precomputed zones",
                fleet -> 100 * fleet.lookupsPerSecond() / fleet.daemons() / slopes.value("lookupDecisionsPerSecond")));
    }

    private void addEntryMessages(List<CapacityRow> rows) {
        rows.add(row(
                "entry",
                "heartbeats in the zone, both ways",
                "bytes/s",
                BOUND_BYTES_PER_SECOND,
                "full mesh",
                CapacityTable::heartbeatBytesPerSecond));
        rows.add(row(
                "entry",
                "changes of configuration received",
                "bytes/s",
                BOUND_BYTES_PER_SECOND,
                "deltas",
                fleet -> fleet.changesPerSecond() * BYTES_PER_CHANGE));
        rows.add(row(
                "entry",
                "burst of 100 changes in a second",
                "bytes",
                Double.NaN,
                "deltas",
                fleet -> 100 * BYTES_PER_CHANGE));
        rows.add(row(
                "entry",
                "control, measured in zones of 4",
                "% of core",
                BOUND_CORE_PERCENT,
                "as today",
                fleet -> slopes.value("controlCorePercent")));
        rows.add(row(
                "entry",
                "control, measured in zones of 4",
                "bytes/s",
                BOUND_BYTES_PER_SECOND,
                "as today",
                fleet -> slopes.value("controlBytesPerSecond")));
        rows.add(row(
                "entry", "snapshot after a restart", "MB", Double.NaN, "zone neighbour", CapacityTable::snapshotMb));
        rows.add(row(
                "entry",
                "build of the table after a change of blocks",
                "s of core",
                Double.NaN,
                "whole table",
                fleet -> fleet.clientBlocks() * slopes.value("tableBuildMicrosPerBlock") / 1e6));
    }

    private void addRelay(List<CapacityRow> rows) {
        rows.add(row(
                "zone relay",
                "changes passed on",
                "bytes/s",
                BOUND_BYTES_PER_SECOND,
                "tree, one level a zone",
                fleet -> fleet.changesPerSecond() * BYTES_PER_CHANGE * (fleet.instancesPerZone() - 1)));
        rows.add(row(
                "zone relay",
                "summaries to other zones",
                "bytes/s",
                BOUND_BYTES_PER_SECOND,
                "one each 5 s and zone",
                fleet -> (fleet.zones() - 1) * (40 + 22.0 * fleet.instancesPerZone()) / SUMMARY_INTERVAL_SECONDS));
        rows.add(row(
                "zone relay",
                "restarts in its zone, all snapshots",
                "MB/day",
                Double.NaN,
                "zone neighbour",
                fleet -> RESTARTS_PER_DAY
                        * fleet.daemons()
                        / Fleet.PLANNED.daemons()
                        / fleet.zones()
                        * snapshotMb(fleet)));
    }

    private void addControl(List<CapacityRow> rows) {
        rows.add(row(
                "control leader",
                "changes told to relays",
                "bytes/s",
                Double.NaN,
                "two a zone",
                fleet -> fleet.changesPerSecond() * BYTES_PER_CHANGE * RELAYS_PER_ZONE * (fleet.zones() - 1)));
        rows.add(row(
                "control leader",
                "requests for rates of caps",
                "1/s",
                Double.NaN,
                "every instance asks",
                fleet -> fleet.daemons() * RENEWALS_PER_SECOND));
        rows.add(row(
                "control leader",
                "entries of the log",
                "1/s",
                slopes.value("logEntriesPerSecond"),
                "group sync",
                fleet -> fleet.changesPerSecond() + 2 * fleet.claimsPerSecond()));
        rows.add(row(
                "control replica",
                "mass restart, snapshots from five",
                "MB each",
                Double.NaN,
                "one a zone",
                fleet -> snapshotMb(fleet) * fleet.zones() / 5));
    }

    private void addLedger(List<CapacityRow> rows) {
        rows.add(row(
                "run ledger",
                "keys of a day",
                "MB",
                BOUND_KEY_MEGABYTES,
                "in memory",
                fleet -> fleet.claimsPerSecond()
                        * SECONDS_PER_DAY
                        * slopes.value("heapBytesPerClaim")
                        / BYTES_PER_MEGABYTE));
        rows.add(row(
                "run ledger",
                "log of a day",
                "MB",
                Double.NaN,
                "snapshots cut it",
                fleet -> 2
                        * fleet.claimsPerSecond()
                        * SECONDS_PER_DAY
                        * slopes.value("logBytesPerClaim")
                        / BYTES_PER_MEGABYTE));
    }

    private void addBudgetOwner(List<CapacityRow> rows) {
        rows.add(row(
                "budget owner",
                "renewals of sessions of one pool",
                "1/s",
                Double.NaN,
                "one owner a pool",
                fleet -> fleet.instancesPerZone() / 0.3));
        rows.add(row(
                "budget owner",
                "instances with connections to an endpoint",
                "instances",
                850 / 32.0,
                "every instance of the zone",
                fleet -> fleet.instancesPerZone()));
    }

    /** Returns the heartbeat traffic of one instance, sent and received, from the exact encoded message size. */
    private static double heartbeatBytesPerSecond(Fleet fleet) {
        int peerCount = fleet.instancesPerZone() - 1;
        Heartbeat heartbeat = Heartbeat.newBuilder()
                .setIncarnation(1_796_000_000_000L)
                .setCounter(100_000)
                .setConfigurationVersion(1)
                .setEcho(HeartbeatEcho.newBuilder()
                        .setIncarnation(1_796_000_000_000L)
                        .setCounter(100_000))
                .build();
        int bytes = Frame.newBuilder()
                .setSender("accra-a-1")
                .setHeartbeat(heartbeat)
                .build()
                .getSerializedSize();
        return 2 * peerCount * bytes * MILLIS_PER_SECOND / MembershipTimings.DEFAULT.heartbeatMillis();
    }

    private static double snapshotMb(Fleet fleet) {
        return fleet.clientBlocks() * DOCUMENT_BYTES_PER_BLOCK / BYTES_PER_MEGABYTE;
    }

    private static CapacityRow row(
            String role,
            String quantity,
            String unit,
            double bound,
            String mechanism,
            ToDoubleFunction<Fleet> estimate) {
        return new CapacityRow(
                role,
                quantity,
                unit,
                estimate.applyAsDouble(Fleet.TODAY),
                estimate.applyAsDouble(Fleet.PLANNED),
                bound,
                mechanism);
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, value >= 100 ? "%.0f" : value >= 1 ? "%.1f" : "%.4f", value);
    }
}
