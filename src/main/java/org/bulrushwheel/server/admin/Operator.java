package org.bulrushwheel.server.admin;

import java.util.Optional;

/**
 * Operator that sends an administration request.
 *
 * <p>Immutable and thread safe.
 *
 * @param name name in the audit trail
 * @param team team whose configuration the operator is restricted to; empty for the whole deployment
 * @param role permissions of the operator
 */
public record Operator(String name, Optional<String> team, Role role) {
    /** Permissions of an operator; each role includes the permissions of the preceding ones. */
    public enum Role {
        VIEWER,
        EDITOR,
        ADMINISTRATOR
    }

    /** Whether the operator has at least the required role. */
    public boolean mayActAs(Role required) {
        return role.compareTo(required) >= 0;
    }
}
