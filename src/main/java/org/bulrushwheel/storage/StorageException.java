package org.bulrushwheel.storage;

/**
 * Signals that the data folder cannot be read or written. The message names the file and the remedy.
 *
 * <p>Immutable and thread safe.
 */
public final class StorageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause. */
    public StorageException(String message) {
        super(message);
    }

    /** Creates an exception with a cause. */
    public StorageException(String message, Throwable cause) {
        super(message, cause);
    }
}
