import java.util.Random;

/** Configurations as the pages write them; the versions change the timeouts of the routes. */
final class Documents {
    private Documents() {}

    static String of(int version, int routes) {
        Random names = new Random(1);
        StringBuilder text = new StringBuilder(routes * 100);
        text.append("{\"version\":\"r").append(version).append("\",\"routes\":{\"columns\":[\"name\",\"hostname\",")
                .append("\"pathPrefix\",\"routeType\",\"timeoutS\",\"targetLatencyS\",\"priority\",\"service\",")
                .append("\"maxAttempts\",\"sessionAffinity\",\"homeRegions\",\"trafficSplit\"],\"rows\":[");
        for (int route = 0; route < routes; route++) {
            String name = Long.toString(names.nextLong(1L << 40), 36);
            String host = Long.toString(names.nextLong(1L << 30), 36);
            double timeout = (1_000 + (names.nextInt(1_000) + version * 7 + route) % 3_000) / 1_000.0;
            text.append(route == 0 ? "" : ",")
                    .append("[\"r-").append(name).append("\",\"").append(host).append(".example\",\"/").append(name)
                    .append("/\",\"safe\",").append(timeout).append(",0.2,1,\"huvo11a\",2,true,[],null]");
        }
        text.append("]},\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\",")
                .append("\"coldStartS\",\"coldPerS\"],\"rows\":[[\"huvo11a\",\"/health\",780,\"h1\",false,3.0,7.7]]},")
                .append("\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,")
                .append("\"idleTimeoutS\":15}}");
        return text.toString();
    }
}
