/** Slots of endpoints on the running daemon: owners, holders and their messages. */
@NullMarked
package org.bulrushwheel.server.slots;

import org.jspecify.annotations.NullMarked;
