package org.bulrushwheel.measure;

import java.util.ArrayList;
import java.util.List;

import org.bulrushwheel.local.LocalDeployment.InstancePlan;
import org.bulrushwheel.logic.config.ConfigurationCodec;
import org.bulrushwheel.model.config.AvailabilityZone;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Link;
import org.bulrushwheel.model.config.Region;
import org.bulrushwheel.model.config.Route;
import org.bulrushwheel.model.config.ServiceDefinition;
import org.bulrushwheel.model.config.Team;

/**
 * Deployments that measurements run in this process.
 *
 * <p>Stateless and thread safe.
 */
final class LocalPlans {
    static final String SERVICE = "casedesk";
    private static final int ENTRIES_PER_ZONE = 4;
    private static final int ZONES_PER_REGION = 2;
    private static final int MAX_REPLICAS = 5;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long LINK_BYTES_PER_SECOND = 500_000_000;

    private LocalPlans() {}

    /** Instances in zones of four; up to five, one in each of the first zones, hold a replica. */
    static List<InstancePlan> instances(int count, int replicas) {
        List<InstancePlan> plans = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            int zone = index / ENTRIES_PER_ZONE;
            boolean control = index % ENTRIES_PER_ZONE == 0 && zone < Math.min(replicas, MAX_REPLICAS);
            plans.add(new InstancePlan("i" + index, "z" + zone, "r" + zone / ZONES_PER_REGION, control));
        }
        return plans;
    }

    /** A configuration that fits the instances; the number makes documents differ. */
    static String document(List<InstancePlan> plans, long number) {
        List<Region> regions = plans.stream()
                .map(InstancePlan::region)
                .distinct()
                .map(Region::new)
                .toList();
        List<AvailabilityZone> zones = plans.stream()
                .map(plan -> new AvailabilityZone(plan.zone(), plan.region()))
                .distinct()
                .toList();
        List<Link> links = regions.size() < 2
                ? List.of()
                : List.of(new Link(regions.get(0).name(), regions.get(1).name(), LINK_BYTES_PER_SECOND));
        List<Route> routes = List.of(
                new Route("/", Route.ANY_METHOD, true, TIMEOUT_MILLIS + number),
                new Route("/refunds", "POST", false, TIMEOUT_MILLIS));
        return ConfigurationCodec.write(new Configuration(
                "measure",
                "UTC",
                regions,
                zones,
                links,
                List.of(new Team("team")),
                List.of(new ServiceDefinition(SERVICE, "team", routes)),
                List.of(),
                List.of(),
                List.of(),
                List.of()));
    }
}
