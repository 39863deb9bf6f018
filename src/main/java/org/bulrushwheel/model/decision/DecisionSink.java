package org.bulrushwheel.model.decision;

/**
 * Receives decisions as they are made.
 *
 * <p>Implementations are thread safe and never block.
 */
@FunctionalInterface
public interface DecisionSink {
    /** A sink that discards every decision. */
    DecisionSink NONE = decision -> {};

    /** Records a decision. */
    void record(Decision decision);
}
