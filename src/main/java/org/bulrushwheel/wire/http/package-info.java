/** Decoding of HTTP/1.1 responses, for all that reads them from Netty's channels. */
@NullMarked
package org.bulrushwheel.wire.http;

import org.jspecify.annotations.NullMarked;
