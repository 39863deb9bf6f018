/** Control replica and its client: the replicated log on a thread, files and the peer network. */
@NullMarked
package org.bulrushwheel.control;

import org.jspecify.annotations.NullMarked;
