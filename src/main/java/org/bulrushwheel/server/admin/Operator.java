package org.bulrushwheel.server.admin;

import java.util.Optional;

/**
 * Who makes a call.
 *
 * <p>Immutable and thread safe.
 *
 * @param name name in the audit trail
 * @param team team whose part the operator is confined to; none for the whole deployment
 * @param role what the operator may do
 */
public record Operator(String name, Optional<String> team, Role role) {
    /** What an operator may do; each role may do what those before it may. */
    public enum Role {
        VIEWER,
        EDITOR,
        ADMINISTRATOR
    }

    /** Whether the operator's role is at least this one. */
    public boolean mayActAs(Role needed) {
        return role.compareTo(needed) >= 0;
    }
}
