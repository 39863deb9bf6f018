/** HTTP server of an instance and the handlers behind it. */
@NullMarked
package org.bulrushwheel.server;

import org.jspecify.annotations.NullMarked;
