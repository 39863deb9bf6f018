package org.bulrushwheel.cli;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;

/** Runs a measurement. */
@Command(name = "measure", mixinStandardHelpOptions = true, description = "Run a measurement and print its table.")
final class MeasureCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        throw new UsageException("name a measurement");
    }
}
