package org.bulrushwheel.server.edge;

import io.netty.buffer.ByteBuf;

/**
 * A large answer on its way to a caller, whose body is passed on while it arrives. It ends with exactly one call of
 * {@link #complete()} or {@link #breakOff()}; calls after that have no effect. Confined to one event loop.
 */
interface AnswerStream {
    /** Passes on the next bytes of the body and takes over their reference. */
    void write(ByteBuf content);

    /** Ends the answer after its whole body has been passed on. */
    void complete();

    /** Closes the caller's connection, so that the answer does not look whole. */
    void breakOff();
}
