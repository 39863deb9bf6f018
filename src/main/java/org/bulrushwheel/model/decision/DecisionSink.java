package org.bulrushwheel.model.decision;

/**
 * Takes decisions as they are made.
 *
 * <p>Implementations are thread safe and never block.
 */
@FunctionalInterface
public interface DecisionSink {
    /** A sink that keeps nothing. */
    DecisionSink NONE = decision -> {};

    /** Takes a decision. */
    void record(Decision decision);
}
