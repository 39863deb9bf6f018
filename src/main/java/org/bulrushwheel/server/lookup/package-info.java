/** Look-up of entry instances over HTTP. */
@NullMarked
package org.bulrushwheel.server.lookup;

import org.jspecify.annotations.NullMarked;
