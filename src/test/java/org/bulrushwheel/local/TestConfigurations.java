package org.bulrushwheel.local;

import java.util.List;

import org.bulrushwheel.logic.config.ConfigurationCodec;
import org.bulrushwheel.model.config.AvailabilityZone;
import org.bulrushwheel.model.config.ClientBlock;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Region;
import org.bulrushwheel.model.config.Route;
import org.bulrushwheel.model.config.ServiceDefinition;
import org.bulrushwheel.model.config.Team;

/** Provides a small configuration for tests. */
public final class TestConfigurations {
    private static final Route READS = new Route("/", Route.ANY_METHOD, true, 5_000);
    private static final Route REFUNDS = new Route("/refunds", "POST", false, 5_000);

    private TestConfigurations() {}

    /** Returns a configuration of one region, two zones and two services. It has no shifts, so any time is a break. */
    public static Configuration configuration() {
        return new Configuration(
                "test",
                "UTC",
                List.of(new Region("local")),
                List.of(new AvailabilityZone("local-a", "local"), new AvailabilityZone("local-b", "local")),
                List.of(),
                List.of(new Team("desk")),
                List.of(
                        new ServiceDefinition("casedesk", "desk", List.of(READS, REFUNDS)),
                        new ServiceDefinition("archive", "desk", List.of(READS))),
                List.of(),
                List.of(),
                List.of(new ClientBlock("10.1.0.0/16", "local-a"), new ClientBlock("10.2.0.0/16", "local-b")),
                List.of());
    }

    public static String document() {
        return ConfigurationCodec.write(configuration());
    }

    public static String clientIn(String zone) {
        return zone.equals("local-a") ? "10.1.0.1" : "10.2.0.1";
    }
}
