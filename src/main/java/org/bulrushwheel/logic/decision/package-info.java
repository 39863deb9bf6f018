/** Sampling of logged decisions, and the account of one request from the logs of several processes. */
@NullMarked
package org.bulrushwheel.logic.decision;

import org.jspecify.annotations.NullMarked;
