package org.bulrushwheel.logic.control;

import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;

import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.ServiceDefinition;
import org.bulrushwheel.model.config.ShiftCap;
import org.bulrushwheel.model.config.Team;

/**
 * The part of a configuration that belongs to one team: the team, its services and their caps. The rest belongs to the
 * whole deployment.
 *
 * <p>Immutable and thread safe.
 */
public final class TeamScope {
    private final String team;

    /** The scope of a team. */
    public TeamScope(String team) {
        this.team = team;
    }

    /** Returns what the team may see: its own services and caps, and the shared sections but for other teams. */
    public Configuration visible(Configuration all) {
        return withParts(
                all,
                all.teams().stream().filter(this::owns).toList(),
                all.services().stream().filter(this::owns).toList(),
                all.shiftCaps().stream().filter(cap -> owns(cap, all)).toList());
    }

    /** Returns the whole configuration with the team's part replaced by that of its own document. */
    public Configuration merge(Configuration all, Configuration own) {
        return withParts(
                all,
                all.teams(),
                joined(all.services(), service -> !owns(service), own.services(), this::owns),
                joined(all.shiftCaps(), cap -> !owns(cap, all), own.shiftCaps(), cap -> owns(cap, own)));
    }

    /** Whether a team's document changes only what belongs to the team. */
    public boolean allows(Configuration all, Configuration own) {
        Configuration seen = visible(all);
        Configuration restored = withParts(own, seen.teams(), seen.services(), seen.shiftCaps());
        boolean servicesOwn = own.services().stream().allMatch(this::owns);
        boolean capsOwn = own.shiftCaps().stream().allMatch(cap -> owns(cap, own));
        boolean nameFree = own.services().stream().noneMatch(service -> all.service(service.name())
                .filter(other -> !owns(other))
                .isPresent());
        return restored.equals(seen) && servicesOwn && capsOwn && nameFree;
    }

    private boolean owns(Team candidate) {
        return candidate.name().equals(team);
    }

    private boolean owns(ServiceDefinition service) {
        return service.team().equals(team);
    }

    private boolean owns(ShiftCap cap, Configuration configuration) {
        return configuration.service(cap.service()).filter(this::owns).isPresent();
    }

    private static <T> List<T> joined(List<T> all, Function<T, Boolean> keep, List<T> own, Function<T, Boolean> take) {
        return Stream.concat(all.stream().filter(keep::apply), own.stream().filter(take::apply))
                .toList();
    }

    private static Configuration withParts(
            Configuration base, List<Team> teams, List<ServiceDefinition> services, List<ShiftCap> caps) {
        return new Configuration(
                base.deployment(),
                base.timeZone(),
                base.regions(),
                base.zones(),
                base.links(),
                teams,
                services,
                base.shifts(),
                caps,
                base.clientBlocks(),
                base.drains());
    }
}
