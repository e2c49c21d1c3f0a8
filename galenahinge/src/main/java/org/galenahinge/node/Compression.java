package org.galenahinge.node;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compresses data that is sent over low-bandwidth links, with zlib. */
final class Compression {
    private static final int MAXIMUM_BYTES = 32 << 20;

    private Compression() {}

    static byte[] compress(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(compressed, deflater)) {
            out.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            deflater.end();
        }
        return compressed.toByteArray();
    }

    /**
     * Decompresses data.
     *
     * @param compressed the compressed data
     * @return the decompressed data, less than 32 MiB
     * @throws IOException when the input is not valid zlib data, or the decompressed data is 32 MiB or larger
     */
    static byte[] decompress(byte[] compressed) throws IOException {
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
            byte[] bytes = in.readNBytes(MAXIMUM_BYTES);
            if (bytes.length == MAXIMUM_BYTES) {
                throw new IOException("the decompressed data is larger than " + MAXIMUM_BYTES + " bytes");
            }
            return bytes;
        }
    }
}
