package org.bulrushwheel.cli;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.standin.Announcer;
import org.bulrushwheel.standin.RunCounter;
import org.bulrushwheel.standin.StandInBehaviour;
import org.bulrushwheel.standin.StandInUpstream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in for an upstream. */
@Command(
        name = "upstream",
        mixinStandardHelpOptions = true,
        description = "Run a stand-in for an upstream on loopback, for trials and tests.")
final class UpstreamCommand implements Callable<Integer> {
    private static final int CRASH_EXIT_CODE = 70;

    @Option(names = "--service", required = true, description = "Service that it serves.")
    private String service;

    @Option(names = "--endpoint", required = true, description = "Name of the endpoint.")
    private String endpoint;

    @Option(names = "--zone", required = true, description = "Availability zone.")
    private String zone;

    @Option(names = "--entry", required = true, split = ",", description = "Entry instances to announce to.")
    private List<String> entries;

    @Option(names = "--port", defaultValue = "0", description = "TCP port, 0 for any.")
    private int port;

    @Option(names = "--slots", defaultValue = "4", description = "Requests that it runs at once (${DEFAULT-VALUE}).")
    private int slots;

    @Option(names = "--service-millis", defaultValue = "5", description = "Time of a request (${DEFAULT-VALUE}).")
    private long serviceMillis;

    @Override
    public Integer call() throws InterruptedException {
        StandInBehaviour behaviour = StandInBehaviour.plain(service, endpoint, zone, slots, serviceMillis);
        StandInUpstream upstream = new StandInUpstream(behaviour, port, new RunCounter(), () -> Runtime.getRuntime()
                        .halt(CRASH_EXIT_CODE))
                .start();
        Announcer announcer = new Announcer(upstream, entries, new HttpCaller()).start();
        System.out.println("stand-in upstream on " + upstream.address());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            upstream.leave();
            announcer.leave();
        }));
        new CountDownLatch(1).await();
        return ExitCodes.DONE;
    }
}
