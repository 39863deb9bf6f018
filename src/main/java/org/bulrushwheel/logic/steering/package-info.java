/** Which endpoint a request goes to: queues, pools of slots by zone, and endpoints that fail. */
@NullMarked
package org.bulrushwheel.logic.steering;

import org.jspecify.annotations.NullMarked;
