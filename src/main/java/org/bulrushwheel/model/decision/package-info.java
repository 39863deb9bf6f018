/** What a process decides and writes into its log, as typed events. */
@NullMarked
package org.bulrushwheel.model.decision;

import org.jspecify.annotations.NullMarked;
