package org.bulrushwheel.logic.control;

import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;

import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.ServiceDefinition;
import org.bulrushwheel.model.config.ShiftCap;
import org.bulrushwheel.model.config.Team;

/**
 * Access scope of one team within the configuration: the team itself, its services and their shift caps. Everything else
 * is shared by the whole deployment.
 *
 * <p>Immutable and thread safe.
 */
public final class TeamScope {
    private final String team;

    /** Creates the scope of the team with this name. */
    public TeamScope(String team) {
        this.team = team;
    }

    /** Returns the configuration visible to the team: its own entry, services and caps, and the shared sections. */
    public Configuration visible(Configuration current) {
        return withSections(
                current,
                current.teams().stream().filter(this::owns).toList(),
                current.services().stream().filter(this::owns).toList(),
                current.shiftCaps().stream().filter(cap -> owns(cap, current)).toList());
    }

    /** Returns the current configuration with the team's services and caps replaced by those of the submitted document. */
    public Configuration merge(Configuration current, Configuration submitted) {
        return withSections(
                current,
                current.teams(),
                concatFiltered(current.services(), service -> !owns(service), submitted.services(), this::owns),
                concatFiltered(
                        current.shiftCaps(),
                        cap -> !owns(cap, current),
                        submitted.shiftCaps(),
                        cap -> owns(cap, submitted)));
    }

    /** Whether the submitted document changes only services and caps of the team, and uses no other team's service name. */
    public boolean allows(Configuration current, Configuration submitted) {
        Configuration visibleNow = visible(current);
        Configuration restored =
                withSections(submitted, visibleNow.teams(), visibleNow.services(), visibleNow.shiftCaps());
        boolean ownsServices = submitted.services().stream().allMatch(this::owns);
        boolean ownsCaps = submitted.shiftCaps().stream().allMatch(cap -> owns(cap, submitted));
        boolean namesAvailable = submitted.services().stream().noneMatch(service -> current.service(service.name())
                .filter(other -> !owns(other))
                .isPresent());
        return restored.equals(visibleNow) && ownsServices && ownsCaps && namesAvailable;
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

    private static <T> List<T> concatFiltered(
            List<T> current, Function<T, Boolean> keepCurrent, List<T> submitted, Function<T, Boolean> keepSubmitted) {
        return Stream.concat(
                        current.stream().filter(keepCurrent::apply),
                        submitted.stream().filter(keepSubmitted::apply))
                .toList();
    }

    private static Configuration withSections(
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
