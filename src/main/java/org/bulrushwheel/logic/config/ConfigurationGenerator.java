package org.bulrushwheel.logic.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.bulrushwheel.model.config.AvailabilityZone;
import org.bulrushwheel.model.config.ClientBlock;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Link;
import org.bulrushwheel.model.config.Region;
import org.bulrushwheel.model.config.Route;
import org.bulrushwheel.model.config.ServiceDefinition;
import org.bulrushwheel.model.config.Shift;
import org.bulrushwheel.model.config.ShiftCap;
import org.bulrushwheel.model.config.Team;

/**
 * Generates a configuration from questionnaire answers. Equal answers produce equal configurations.
 *
 * <p>Stateless and thread safe.
 */
public final class ConfigurationGenerator {
    private static final long BYTES_PER_MEGABIT = 125_000;
    private static final String WRITE_METHOD = "POST";

    private ConfigurationGenerator() {}

    /** Generates a configuration, which has no drains. */
    public static Configuration generate(QuestionnaireAnswers answers) {
        return new Configuration(
                answers.deployment(),
                answers.timeZone(),
                answers.regions().stream().map(Region::new).toList(),
                zones(answers),
                links(answers),
                List.of(new Team(answers.team())),
                services(answers),
                answers.shifts().stream()
                        .map(shift -> new Shift(shift.name(), shift.startTime(), shift.endTime()))
                        .toList(),
                caps(answers),
                answers.clientBlocks().stream()
                        .map(block -> new ClientBlock(block.cidr(), block.zone()))
                        .toList(),
                List.of());
    }

    private static List<AvailabilityZone> zones(QuestionnaireAnswers answers) {
        List<AvailabilityZone> zones = new ArrayList<>();
        for (String region : answers.regions()) {
            for (int index = 0; index < answers.zonesPerRegion(); index++) {
                zones.add(new AvailabilityZone(region + "-" + (char) ('a' + index), region));
            }
        }
        return zones;
    }

    private static List<Link> links(QuestionnaireAnswers answers) {
        List<Link> links = new ArrayList<>();
        List<String> regions = answers.regions();
        long capacityBytesPerSecond = answers.linkMegabitsPerSecond() * BYTES_PER_MEGABIT;
        for (int from = 0; from < regions.size(); from++) {
            for (int to = from + 1; to < regions.size(); to++) {
                links.add(new Link(regions.get(from), regions.get(to), capacityBytesPerSecond));
            }
        }
        return links;
    }

    private static List<ServiceDefinition> services(QuestionnaireAnswers answers) {
        return answers.services().stream()
                .map(service -> new ServiceDefinition(service.name(), answers.team(), routes(service)))
                .toList();
    }

    private static List<Route> routes(QuestionnaireAnswers.ServiceAnswers service) {
        List<Route> routes = new ArrayList<>();
        routes.add(new Route("/", Route.ANY_METHOD, true, service.timeoutMillis()));
        service.runOncePaths().stream()
                .sorted(Comparator.naturalOrder())
                .map(path -> new Route(path, WRITE_METHOD, false, service.timeoutMillis()))
                .forEach(routes::add);
        return routes;
    }

    private static List<ShiftCap> caps(QuestionnaireAnswers answers) {
        List<ShiftCap> caps = new ArrayList<>();
        for (QuestionnaireAnswers.ServiceAnswers service : answers.services()) {
            for (QuestionnaireAnswers.ShiftAnswers shift : answers.shifts()) {
                caps.add(new ShiftCap(service.name(), shift.name(), service.peakRequestsPerSecond()));
            }
        }
        return caps;
    }
}
