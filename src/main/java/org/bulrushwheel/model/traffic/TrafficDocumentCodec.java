package org.bulrushwheel.model.traffic;

import java.util.List;

import io.vavr.control.Either;

/**
 * Parses the document in which an operator writes a traffic configuration. The document itself is stored unchanged.
 *
 * <p>Implementations are stateless and thread safe.
 */
@FunctionalInterface
public interface TrafficDocumentCodec {
    /** Reads a document; the left value lists every fault with its remedy. */
    Either<List<String>, TrafficConfiguration> read(byte[] document);
}
