package org.bulrushwheel.logic.config;

import java.util.List;

/**
 * A team's answers to the questionnaire, from which the configuration is generated.
 *
 * <p>Immutable and thread safe.
 *
 * @param deployment name of the deployment
 * @param timeZone IANA time zone of the shifts
 * @param regions names of the regions
 * @param zonesPerRegion number of availability zones in each region
 * @param linkMegabitsPerSecond link capacity between each pair of regions, in each direction
 * @param team team that owns the services
 * @param services the services
 * @param shifts the shifts
 * @param clientBlocks address blocks of the clients and their zones; optional
 */
public record QuestionnaireAnswers(
        String deployment,
        String timeZone,
        List<String> regions,
        int zonesPerRegion,
        long linkMegabitsPerSecond,
        String team,
        List<ServiceAnswers> services,
        List<ShiftAnswers> shifts,
        List<BlockAnswers> clientBlocks) {
    /** Copies the lists; a missing answer becomes an empty list. */
    public QuestionnaireAnswers {
        regions = regions == null ? List.of() : List.copyOf(regions);
        services = services == null ? List.of() : List.copyOf(services);
        shifts = shifts == null ? List.of() : List.copyOf(shifts);
        clientBlocks = clientBlocks == null ? List.of() : List.copyOf(clientBlocks);
    }

    /**
     * Answers for one service.
     *
     * @param name name of the service
     * @param timeoutMillis request timeout
     * @param runOncePaths path prefixes whose requests must run at most once
     * @param peakRequestsPerSecond cap of the request rate in every shift
     */
    public record ServiceAnswers(
            String name, long timeoutMillis, List<String> runOncePaths, long peakRequestsPerSecond) {
        /** Copies the paths; a missing list becomes empty. */
        public ServiceAnswers {
            runOncePaths = runOncePaths == null ? List.of() : List.copyOf(runOncePaths);
        }
    }

    /**
     * Answers for one shift.
     *
     * @param name name of the shift
     * @param startTime HH:MM
     * @param endTime HH:MM
     */
    public record ShiftAnswers(String name, String startTime, String endTime) {}

    /**
     * Answers for one block of client addresses.
     *
     * @param cidr address prefix
     * @param zone name of the availability zone
     */
    public record BlockAnswers(String cidr, String zone) {}
}
