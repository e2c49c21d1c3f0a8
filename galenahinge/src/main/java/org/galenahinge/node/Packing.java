package org.galenahinge.node;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compresses what crosses a thin link. */
final class Packing {
    private static final int MAXIMUM_BYTES = 32 << 20;

    private Packing() {}

    static byte[] pack(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(packed, deflater)) {
            out.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            deflater.end();
        }
        return packed.toByteArray();
    }

    /**
     * Unpacks bytes.
     *
     * @param packed the packed bytes
     * @return the bytes
     * @throws IOException when they are no packed bytes, or more than can be taken
     */
    static byte[] unpack(byte[] packed) throws IOException {
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(packed))) {
            byte[] bytes = in.readNBytes(MAXIMUM_BYTES);
            if (bytes.length == MAXIMUM_BYTES) {
                throw new IOException("larger than " + MAXIMUM_BYTES + " bytes");
            }
            return bytes;
        }
    }
}
