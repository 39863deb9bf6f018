package org.bulrushwheel.logic.config;

import java.util.List;

/**
 * What a team answers to the questionnaire; the configuration is generated from it.
 *
 * <p>Immutable and thread safe.
 *
 * @param deployment name of the deployment
 * @param timeZone IANA time zone of the shifts
 * @param regions names of the regions
 * @param zonesPerRegion availability zones in each region
 * @param linkMegabitsPerSecond capacity between each pair of regions, each way
 * @param team owning team
 * @param services the services
 * @param shifts the shifts
 * @param clientBlocks where clients are, optional
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
    /** Copies the lists; an answer left out is empty. */
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
     * @param timeoutMillis longest time of a request
     * @param runOncePaths path prefixes whose requests must not run twice
     * @param peakRequestsPerSecond cap in every shift
     */
    public record ServiceAnswers(
            String name, long timeoutMillis, List<String> runOncePaths, long peakRequestsPerSecond) {
        /** Copies the paths; left out means none. */
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
     * Answers for one block of clients.
     *
     * @param cidr address prefix
     * @param zone name of the availability zone
     */
    public record BlockAnswers(String cidr, String zone) {}
}
