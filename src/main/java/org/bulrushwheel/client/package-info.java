/** HTTP client of the command line, local deployments and stand-in upstreams. */
@NullMarked
package org.bulrushwheel.client;

import org.jspecify.annotations.NullMarked;
