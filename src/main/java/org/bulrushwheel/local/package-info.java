/** Small deployments in one process on loopback, for the quickstart, measurements and tests. */
@NullMarked
package org.bulrushwheel.local;

import org.jspecify.annotations.NullMarked;
