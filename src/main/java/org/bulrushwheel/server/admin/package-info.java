/** Administration API over HTTP. */
@NullMarked
package org.bulrushwheel.server.admin;

import org.jspecify.annotations.NullMarked;
