/** Grants of endpoint slots between instances: pool owners, holders and the messages between them. */
@NullMarked
package org.bulrushwheel.server.slots;

import org.jspecify.annotations.NullMarked;
