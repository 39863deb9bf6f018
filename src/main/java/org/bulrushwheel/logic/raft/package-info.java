/** Raft consensus: leader election, log replication and voter set changes, as a pure state machine. */
@NullMarked
package org.bulrushwheel.logic.raft;

import org.jspecify.annotations.NullMarked;
