/** Small deployments that run in one process on loopback addresses, for the quickstart, measurements and tests. */
@NullMarked
package org.bulrushwheel.local;

import org.jspecify.annotations.NullMarked;
