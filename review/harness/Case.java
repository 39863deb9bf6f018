package review;

import java.nio.file.Path;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
abstract class Case {
    /** Whether the disruption is made; TROUBLE=0 leaves it out. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** Returns whether the rule held. */
    abstract boolean run(Record record) throws Exception;

    static void main(Case test, String[] args) throws Exception {
        int exit = 2;
        try (Record record = new Record(Path.of(args[0]).resolve("record.txt"))) {
            try {
                record.tell(test.trouble ? "with the disruption" : "without the disruption");
                boolean held = test.run(record);
                record.tell(held ? "the rule held" : "the rule is BROKEN");
                exit = held ? 0 : 1;
            } catch (Exception e) {
                record.tell("the case could not run: " + e);
            }
        }
        System.exit(exit);
    }

    /** A configuration of one service and the given route rows. */
    static String configuration(int version, String routes) {
        return "{\"version\":\"r" + version + "\",\"routes\":{\"columns\":[\"name\",\"hostname\",\"pathPrefix\","
                + "\"routeType\",\"timeoutS\",\"targetLatencyS\",\"priority\",\"service\",\"maxAttempts\","
                + "\"sessionAffinity\",\"homeRegions\",\"trafficSplit\"],\"rows\":[" + routes + "]},"
                + "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\","
                + "\"coldStartS\",\"coldPerS\"],\"rows\":[[\"desk\",\"/health\",851,\"h1\",false,3.0,3.1]]},"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,"
                + "\"idleTimeoutS\":15}}";
    }

    static String route(String name, String prefix, String type, double timeoutS, int maxAttempts, boolean affinity) {
        return "[\"" + name + "\",\"desk.example\",\"" + prefix + "\",\"" + type + "\"," + timeoutS + "," + timeoutS
                + ",1,\"desk\"," + maxAttempts + "," + affinity + ",[],null]";
    }
}
