package org.bulrushwheel.model.config;

/**
 * Rules for the requests of a service with one path prefix.
 *
 * <p>Immutable and thread safe.
 *
 * @param pathPrefix prefix of the path after the service name, starting with a slash
 * @param method HTTP method, or {@code *} for any
 * @param idempotent whether a request may run more than once
 * @param timeoutMillis request timeout when the caller sets none
 */
public record Route(String pathPrefix, String method, boolean idempotent, long timeoutMillis) {
    /** Wildcard that matches every method. */
    public static final String ANY_METHOD = "*";

    /** Whether the route applies to a request with this method and path. */
    public boolean matches(String requestMethod, String requestPath) {
        boolean methodMatches = ANY_METHOD.equals(method) || method.equalsIgnoreCase(requestMethod);
        return methodMatches && pathMatches(requestPath);
    }

    private boolean pathMatches(String requestPath) {
        if (!requestPath.startsWith(pathPrefix)) {
            return false;
        }
        return pathPrefix.endsWith("/")
                || requestPath.length() == pathPrefix.length()
                || requestPath.charAt(pathPrefix.length()) == '/'
                || requestPath.charAt(pathPrefix.length()) == '?';
    }
}
