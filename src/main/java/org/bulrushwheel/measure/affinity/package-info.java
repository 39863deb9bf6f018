/** Model of requests for objects that endpoints handle faster a second time, on virtual time. */
@NullMarked
package org.bulrushwheel.measure.affinity;

import org.jspecify.annotations.NullMarked;
