package org.bulrushwheel.storage;

/**
 * A fault of the data folder. The message names the file and the remedy.
 *
 * <p>Immutable and thread safe.
 */
public final class StorageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** A fault without a cause. */
    public StorageException(String message) {
        super(message);
    }

    /** A fault with a cause. */
    public StorageException(String message, Throwable cause) {
        super(message, cause);
    }
}
