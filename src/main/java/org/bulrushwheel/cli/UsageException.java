package org.bulrushwheel.cli;

/**
 * Wrong usage or settings. The message says what to correct.
 *
 * <p>Immutable and thread safe.
 */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
