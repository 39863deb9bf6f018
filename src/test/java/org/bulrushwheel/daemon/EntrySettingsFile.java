package org.bulrushwheel.daemon;

/** Settings file of an entry instance on loopback whose seeds do not answer. */
final class EntrySettingsFile {
    private static final String DOCUMENT =
            """
            instance = "entry-1"
            zone = "a1"
            region = "a"
            peerAddress = "127.0.0.1:%d"
            callerAddress = "127.0.0.1:%d"
            readinessAddress = "127.0.0.1:%d"
            seeds = ["%s:%d"]
            firstStart = false
            zones = [{ zone = "a1", region = "a" }]

            [bounds]
            stopGraceSeconds = 1
            retryWindowSeconds = 10
            retryRatio = 0.2
            retrySlack = 100
            coldLoadFactor = 1.5
            coldSlackRequests = 5
            announcementSeconds = 1.5
            lookupValidSeconds = 1.5
            """;

    private EntrySettingsFile() {}

    static String document(int peerPort, int callerPort, int readinessPort, String seedHost, int seedPort) {
        return DOCUMENT.formatted(peerPort, callerPort, readinessPort, seedHost, seedPort);
    }
}
