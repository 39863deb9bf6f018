/** Retry policy: retry budgets, retry delays, and detection of poison requests. */
@NullMarked
package org.bulrushwheel.logic.retry;

import org.jspecify.annotations.NullMarked;
