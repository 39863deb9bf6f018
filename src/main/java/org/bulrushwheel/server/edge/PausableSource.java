package org.bulrushwheel.server.edge;

/** Source of a stream that can be paused and resumed. Confined to one event loop. */
interface PausableSource {
    /** Pauses or resumes the source; bytes that were read already may still arrive. */
    void setPaused(boolean paused);
}
