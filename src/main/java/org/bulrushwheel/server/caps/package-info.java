/** Enforcement of shift caps across all instances. */
@NullMarked
package org.bulrushwheel.server.caps;

import org.jspecify.annotations.NullMarked;
