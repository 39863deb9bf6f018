package org.bulrushwheel.model.config;

import java.util.List;
import java.util.Optional;

/**
 * The whole configuration of one deployment. Items refer to each other by name; the checker verifies the references.
 *
 * <p>Immutable and thread safe.
 *
 * @param deployment name of the deployment
 * @param timeZone time zone of the shifts, as an IANA name
 * @param regions the regions
 * @param zones the availability zones
 * @param links the links between regions
 * @param teams the teams
 * @param services the services
 * @param shifts the shifts of a day
 * @param shiftCaps caps by service and shift
 * @param clientBlocks client blocks, of which the longest matching prefix applies
 * @param drains planned drains in force
 */
public record Configuration(
        String deployment,
        String timeZone,
        List<Region> regions,
        List<AvailabilityZone> zones,
        List<Link> links,
        List<Team> teams,
        List<ServiceDefinition> services,
        List<Shift> shifts,
        List<ShiftCap> shiftCaps,
        List<ClientBlock> clientBlocks,
        List<Drain> drains) {
    /** A configuration whose sections are all empty. */
    public static final Configuration EMPTY = new Configuration(
            "", "UTC", List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of(),
            List.of());

    /** Copies the lists; sections missing from a document become empty. */
    public Configuration {
        regions = copyOrEmpty(regions);
        zones = copyOrEmpty(zones);
        links = copyOrEmpty(links);
        teams = copyOrEmpty(teams);
        services = copyOrEmpty(services);
        shifts = copyOrEmpty(shifts);
        shiftCaps = copyOrEmpty(shiftCaps);
        clientBlocks = copyOrEmpty(clientBlocks);
        drains = copyOrEmpty(drains);
    }

    private static <T> List<T> copyOrEmpty(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /** Finds a service by name. */
    public Optional<ServiceDefinition> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /** Finds the region of an availability zone. */
    public Optional<String> regionOf(String zone) {
        return zones.stream()
                .filter(candidate -> candidate.name().equals(zone))
                .map(AvailabilityZone::region)
                .findFirst();
    }

    /** Finds the cap of a service in a shift. */
    public Optional<ShiftCap> capOf(String service, String shift) {
        return shiftCaps.stream()
                .filter(cap -> cap.service().equals(service) && cap.shift().equals(shift))
                .findFirst();
    }

    /** Whether a drain of this kind and name is in force. */
    public boolean isDrained(DrainKind kind, String name) {
        return drains.contains(new Drain(kind, name));
    }

    /** Returns a copy of this configuration with these drains. */
    public Configuration withDrains(List<Drain> newDrains) {
        return new Configuration(
                deployment,
                timeZone,
                regions,
                zones,
                links,
                teams,
                services,
                shifts,
                shiftCaps,
                clientBlocks,
                newDrains);
    }
}
