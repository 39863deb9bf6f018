/** Messages between instances: protobuf frames over TCP. */
@NullMarked
package org.bulrushwheel.wire;

import org.jspecify.annotations.NullMarked;
