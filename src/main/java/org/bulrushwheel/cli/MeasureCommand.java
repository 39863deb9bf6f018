package org.bulrushwheel.cli;

import java.util.List;
import java.util.concurrent.Callable;

import org.bulrushwheel.measure.Figure;
import org.bulrushwheel.measure.FigureTable;
import org.bulrushwheel.measure.steer.SteerDeployment;
import org.bulrushwheel.measure.steer.SteerMeasurement;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs measurements. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Run a measurement and print its table.",
        subcommands = MeasureCommand.Steer.class)
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
        @picocli.CommandLine.Mixin
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
}
