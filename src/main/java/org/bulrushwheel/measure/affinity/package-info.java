/** Simulates, on virtual time, requests for objects that an endpoint handles faster while they are in its cache. */
@NullMarked
package org.bulrushwheel.measure.affinity;

import org.jspecify.annotations.NullMarked;
