package org.bulrushwheel.logic.fleet;

import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import com.google.protobuf.ByteString;

/**
 * Compresses and decompresses bytes in memory.
 *
 * <p>Stateless and thread safe.
 */
final class Deflation {
    private static final int BUFFER_BYTES = 8_192;

    private Deflation() {}

    static ByteString deflate(ByteString bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes.toByteArray());
            deflater.finish();
            ByteString.Output output = ByteString.newOutput();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                output.write(buffer, 0, deflater.deflate(buffer));
            }
            return output.toByteString();
        } finally {
            deflater.end();
        }
    }

    /**
     * Returns the decompressed bytes.
     *
     * @param maxBytes longest result that is accepted, in bytes
     * @throws DataFormatException if the bytes are malformed, truncated or decompress to more
     */
    static ByteString inflate(ByteString bytes, int maxBytes) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(bytes.toByteArray());
            ByteString.Output output = ByteString.newOutput();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if ((count == 0 && !inflater.finished()) || output.size() + count > maxBytes) {
                    throw new DataFormatException("the bytes are truncated or too long");
                }
                output.write(buffer, 0, count);
            }
            return output.toByteString();
        } finally {
            inflater.end();
        }
    }
}
