/** Control replica and its client: runs the Raft log on a dedicated thread, with disk storage and the peer network. */
@NullMarked
package org.bulrushwheel.control;

import org.jspecify.annotations.NullMarked;
