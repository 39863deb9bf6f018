package org.bulrushwheel.server.gateway;

/** Whether a request of a service may begin under the cap of the shift. Implementations are thread safe. */
@FunctionalInterface
public interface Admission {
    /** Counts a request and tells whether the cap has room for it. */
    boolean tryAdmit(String service);
}
