package org.bulrushwheel.model.config;

/**
 * How requests below one path prefix of a service are treated.
 *
 * <p>Immutable and thread safe.
 *
 * @param pathPrefix prefix of the path behind the service's name, starting with a slash
 * @param method HTTP method, or {@code *} for each
 * @param idempotent whether a request may run more than once
 * @param timeoutMillis longest time that a request may take when its caller names none
 */
public record Route(String pathPrefix, String method, boolean idempotent, long timeoutMillis) {
    /** Method name that stands for every method. */
    public static final String ANY_METHOD = "*";

    /** Whether a request with this method and path falls under the route. */
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
