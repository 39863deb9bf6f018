package org.bulrushwheel.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Crash-safe operations on folders and whole files.
 *
 * <p>Stateless and thread safe for different paths.
 */
final class DurableFiles {
    private DurableFiles() {}

    /** Syncs a folder, so that created, renamed and removed entries survive a crash. */
    static void sync(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /** Replaces a file atomically: after a crash it has either the old or the new content. */
    static void replace(Path path, byte[] content) throws IOException {
        Path temporary = path.resolveSibling(path.getFileName() + ".new");
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer buffer = ByteBuffer.wrap(content);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
            channel.force(true);
        }
        Files.move(temporary, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        sync(path.getParent());
    }
}
