/** Replicated log: leader election, replication and changes of the voter set, as a pure state machine. */
@NullMarked
package org.bulrushwheel.logic.raft;

import org.jspecify.annotations.NullMarked;
