package org.bulrushwheel.logic.config;

import java.time.DateTimeException;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import org.bulrushwheel.model.config.AvailabilityZone;
import org.bulrushwheel.model.config.ClientBlock;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Drain;
import org.bulrushwheel.model.config.DrainKind;
import org.bulrushwheel.model.config.Link;
import org.bulrushwheel.model.config.Region;
import org.bulrushwheel.model.config.Route;
import org.bulrushwheel.model.config.ServiceDefinition;
import org.bulrushwheel.model.config.Shift;
import org.bulrushwheel.model.config.ShiftCap;
import org.bulrushwheel.model.config.Team;

/**
 * Validates a configuration and reports every fault, not only the first.
 *
 * <p>Not thread safe: use a new checker for each check.
 */
public final class ConfigurationChecker {
    private final Configuration configuration;
    private final List<String> faults = new ArrayList<>();

    private ConfigurationChecker(Configuration configuration) {
        this.configuration = configuration;
    }

    /** Returns the faults, each with its remedy; empty when the configuration may be accepted. */
    public static List<String> check(Configuration configuration) {
        return new ConfigurationChecker(configuration).run();
    }

    private List<String> run() {
        if (configuration.deployment() == null || configuration.deployment().isBlank()) {
            fault("deployment", "is missing; set the name of the deployment");
        }
        checkTimeZone();
        Set<String> regions = uniqueNames("regions", configuration.regions(), Region::name);
        Set<String> zones = uniqueNames("zones", configuration.zones(), AvailabilityZone::name);
        Set<String> teams = uniqueNames("teams", configuration.teams(), Team::name);
        Set<String> services = uniqueNames("services", configuration.services(), ServiceDefinition::name);
        Set<String> shifts = uniqueNames("shifts", configuration.shifts(), Shift::name);
        configuration.zones().forEach(zone -> require("zones." + zone.name() + ".region", zone.region(), regions));
        configuration.links().forEach(link -> checkLink(link, regions));
        configuration.services().forEach(service -> checkService(service, teams));
        configuration.shifts().forEach(this::checkShift);
        configuration.shiftCaps().forEach(cap -> checkCap(cap, services, shifts));
        checkClientBlocks(zones);
        configuration.drains().forEach(drain -> checkDrain(drain, regions, zones));
        return List.copyOf(faults);
    }

    private void checkTimeZone() {
        try {
            ZoneId.of(String.valueOf(configuration.timeZone()));
        } catch (DateTimeException e) {
            fault(
                    "timeZone",
                    "'" + configuration.timeZone() + "' is not a time zone; use an IANA name such as Europe/Zurich");
        }
    }

    private <T> Set<String> uniqueNames(String section, List<T> items, Function<T, String> nameOf) {
        Set<String> names = new HashSet<>();
        for (T item : items) {
            String name = nameOf.apply(item);
            if (name == null || name.isBlank()) {
                fault(section, "has an entry without a name; add one");
            } else if (!names.add(name)) {
                fault(section + "." + name, "is defined twice; rename one");
            }
        }
        return names;
    }

    private void checkLink(Link link, Set<String> regions) {
        String key = "links." + link.from() + "-" + link.to();
        require(key + ".from", link.from(), regions);
        require(key + ".to", link.to(), regions);
        if (link.capacityBytesPerSecond() <= 0) {
            fault(key + ".capacityBytesPerSecond", "must be greater than 0; set the capacity of the link");
        }
    }

    private void checkService(ServiceDefinition service, Set<String> teams) {
        String key = "services." + service.name();
        require(key + ".team", service.team(), teams);
        if (service.routes().isEmpty()) {
            fault(key + ".routes", "is empty; add a route");
        }
        service.routes().forEach(route -> checkRoute(key, route));
    }

    private void checkRoute(String key, Route route) {
        if (route.pathPrefix() == null || !route.pathPrefix().startsWith("/")) {
            fault(key + ".routes.pathPrefix", "'" + route.pathPrefix() + "' must start with a slash; add it");
        }
        if (route.method() == null || route.method().isBlank()) {
            fault(key + ".routes.method", "is missing; set an HTTP method or *");
        }
        if (route.timeoutMillis() <= 0) {
            fault(key + ".routes.timeoutMillis", "must be greater than 0; set the request timeout");
        }
    }

    private void checkShift(Shift shift) {
        checkTime("shifts." + shift.name() + ".startTime", shift.startTime());
        checkTime("shifts." + shift.name() + ".endTime", shift.endTime());
    }

    private void checkTime(String key, String time) {
        try {
            LocalTime.parse(String.valueOf(time));
        } catch (DateTimeException e) {
            fault(key, "'" + time + "' is not a time of day; write it as HH:MM");
        }
    }

    private void checkCap(ShiftCap cap, Set<String> services, Set<String> shifts) {
        String key = "shiftCaps." + cap.service() + "." + cap.shift();
        require(key + ".service", cap.service(), services);
        require(key + ".shift", cap.shift(), shifts);
        if (cap.requestsPerSecond() <= 0) {
            fault(key + ".requestsPerSecond", "must be greater than 0; set the cap");
        }
    }

    private void checkClientBlocks(Set<String> zones) {
        Set<String> seen = new HashSet<>();
        for (ClientBlock block : configuration.clientBlocks()) {
            String key = "clientBlocks." + block.cidr();
            require(key + ".zone", block.zone(), zones);
            if (!seen.add(block.cidr())) {
                fault(key, "is listed twice; remove one");
            }
            if (CidrPrefix.parse(block.cidr()).isEmpty()) {
                fault(key, "is not an address prefix; write it like 10.1.0.0/16");
            }
        }
    }

    private void checkDrain(Drain drain, Set<String> regions, Set<String> zones) {
        if (drain.kind() == DrainKind.REGION) {
            require("drains.name", drain.name(), regions);
        }
        if (drain.kind() == DrainKind.ZONE) {
            require("drains.name", drain.name(), zones);
        }
    }

    private void require(String key, String name, Set<String> defined) {
        if (name == null || !defined.contains(name)) {
            fault(
                    key,
                    "'" + name + "' is not defined; define it or use one of "
                            + defined.stream().sorted().toList());
        }
    }

    private void fault(String key, String text) {
        faults.add(key + ": " + text);
    }
}
