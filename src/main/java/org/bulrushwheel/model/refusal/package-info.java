/** Typed refusals: why a request was not served, whether it ran, and what to do about it. */
@NullMarked
package org.bulrushwheel.model.refusal;

import org.jspecify.annotations.NullMarked;
