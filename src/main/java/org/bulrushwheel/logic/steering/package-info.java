/** Dispatches requests to endpoints: request queues, slot pools by zone, and ejection of failing endpoints. */
@NullMarked
package org.bulrushwheel.logic.steering;

import org.jspecify.annotations.NullMarked;
