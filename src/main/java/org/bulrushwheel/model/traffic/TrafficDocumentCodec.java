package org.bulrushwheel.model.traffic;

import java.util.List;

import io.vavr.control.Either;

/**
 * Reads the form in which an operator writes a traffic configuration. The form itself is stored as it came.
 *
 * <p>Implementations are stateless and thread safe.
 */
@FunctionalInterface
public interface TrafficDocumentCodec {
    /** Reads a document; on the left every fault, each with its remedy. */
    Either<List<String>, TrafficConfiguration> read(byte[] document);
}
