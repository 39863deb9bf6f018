package org.bulrushwheel.server.gateway;

/** Admission control: enforces the shift cap of a service. Implementations are thread safe. */
@FunctionalInterface
public interface Admission {
    /** Counts a request and returns whether the shift cap admits it. */
    boolean tryAdmit(String service);
}
