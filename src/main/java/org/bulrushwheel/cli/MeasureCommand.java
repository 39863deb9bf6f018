package org.bulrushwheel.cli;

import java.util.List;
import java.util.concurrent.Callable;

import org.bulrushwheel.measure.AcceptMeasurement;
import org.bulrushwheel.measure.ControlMeasurement;
import org.bulrushwheel.measure.Figure;
import org.bulrushwheel.measure.FigureTable;
import org.bulrushwheel.measure.GatewayMeasurement;
import org.bulrushwheel.measure.LogMeasurement;
import org.bulrushwheel.measure.LookupMeasurement;
import org.bulrushwheel.measure.OnceMeasurement;
import org.bulrushwheel.measure.affinity.AffinityMeasurement;
import org.bulrushwheel.measure.capacity.CapacityTable;
import org.bulrushwheel.measure.capacity.Slopes;
import org.bulrushwheel.measure.steer.SteerDeployment;
import org.bulrushwheel.measure.steer.SteerMeasurement;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs measurements. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Run a measurement and print its table.",
        subcommands = {
            MeasureCommand.Steer.class,
            MeasureCommand.Affinity.class,
            MeasureCommand.Gateway.class,
            MeasureCommand.Lookup.class,
            MeasureCommand.Once.class,
            MeasureCommand.Accept.class,
            MeasureCommand.Log.class,
            MeasureCommand.Control.class,
            MeasureCommand.Capacity.class
        })
final class MeasureCommand {
    /** Options of every measurement. */
    static final class TableOptions {
        @Option(names = "--json", description = "Print the figures as JSON.")
        private boolean json;

        int print(List<Figure> figures) {
            if (json) {
                FigureTable.printJson(System.out, figures);
            } else {
                FigureTable.print(System.out, figures);
            }
            return ExitCodes.DONE;
        }
    }

    /** Steering policies on virtual time. */
    @Command(
            name = "steer",
            mixinStandardHelpOptions = true,
            description = "Steering policies on virtual time, against the least reported load.")
    static final class Steer implements Callable<Integer> {
        @Mixin
        private TableOptions table;

        @Option(names = "--deployment", defaultValue = "adwenpa", description = "adwenpa or foerderbruecke.")
        private String deployment;

        @Option(names = "--seed", defaultValue = "1", description = "Seed (${DEFAULT-VALUE}).")
        private long seed;

        @Override
        public Integer call() {
            return table.print(SteerMeasurement.run(SteerDeployment.named(deployment), seed));
        }
    }

    /** Latency that the gateway adds, on loopback. */
    @Command(
            name = "gateway",
            mixinStandardHelpOptions = true,
            description = "Latency that the gateway adds, on loopback.")
    static final class Gateway implements Callable<Integer> {
        @Mixin
        private TableOptions table;

        @Override
        public Integer call() {
            return table.print(GatewayMeasurement.run());
        }
    }

    /** Requests for objects that endpoints handle faster a second time, on virtual time. */
    @Command(
            name = "affinity",
            mixinStandardHelpOptions = true,
            description = "Requests for objects that endpoints handle faster a second time, on virtual time.")
    static final class Affinity implements Callable<Integer> {
        @Mixin
        private TableOptions table;

        @Option(names = "--seed", defaultValue = "1", description = "Seed (${DEFAULT-VALUE}).")
        private long seed;

        @Override
        public Integer call() {
            return table.print(AffinityMeasurement.run(seed));
        }
    }

    /** Cost of look-ups at several numbers of client blocks. */
    @Command(
            name = "lookup",
            mixinStandardHelpOptions = true,
            description = "Cost of look-ups at several numbers of client blocks.")
    static final class Lookup implements Callable<Integer> {
        @Mixin
        private TableOptions table;

        @Option(names = "--seed", defaultValue = "1", description = "Seed (${DEFAULT-VALUE}).")
        private long seed;

        @Override
        public Integer call() {
            return table.print(LookupMeasurement.run(seed));
        }
    }

    /** What a claim of the run ledger adds, on loopback. */
    @Command(
            name = "once",
            mixinStandardHelpOptions = true,
            description = "What a claim of the run ledger adds, on loopback.")
    static final class Once implements Callable<Integer> {
        @Mixin
        private TableOptions table;

        @Override
        public Integer call() {
            return table.print(OnceMeasurement.run());
        }
    }

    /** Time until a configuration is in force on 24 daemons, on loopback. */
    @Command(
            name = "accept",
            mixinStandardHelpOptions = true,
            description = "Time until a configuration is in force on 24 daemons, on loopback.")
    static final class Accept implements Callable<Integer> {
        @Mixin
        private TableOptions table;

        @Override
        public Integer call() {
            return table.print(AcceptMeasurement.run());
        }
    }

    /** Synced entries of the replicated log, on loopback. */
    @Command(
            name = "log",
            mixinStandardHelpOptions = true,
            description = "Synced entries of the replicated log, on loopback.")
    static final class Log implements Callable<Integer> {
        @Mixin
        private TableOptions table;

        @Override
        public Integer call() {
            return table.print(LogMeasurement.run());
        }
    }

    /** What control costs a daemon at several fleet sizes, on loopback. */
    @Command(
            name = "control",
            mixinStandardHelpOptions = true,
            description = "What control costs a daemon at several fleet sizes, on loopback.")
    static final class Control implements Callable<Integer> {
        @Mixin
        private TableOptions table;

        @Override
        public Integer call() {
            return table.print(ControlMeasurement.run());
        }
    }

    /** The table of CAPACITY.md. */
    @Command(
            name = "capacity",
            mixinStandardHelpOptions = true,
            description = "Print the table of docs/CAPACITY.md from the measured slopes.")
    static final class Capacity implements Callable<Integer> {
        @Override
        public Integer call() {
            System.out.print(new CapacityTable(Slopes.shipped()).markdown());
            return ExitCodes.DONE;
        }
    }
}
