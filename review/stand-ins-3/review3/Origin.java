package review3;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

/** The service with the weights: it hands out the digests and the pieces of each version. */
final class Origin implements AutoCloseable {
    static final int PIECES = 64;
    static final int PIECE_BYTES = 32_768;
    private static final double LINK_BITS_PER_MILLI = 9_900;

    private final Listener listener;
    private final CaseRecord record;
    private final AtomicBoolean spoilsNext = new AtomicBoolean();

    Origin(String host, int port, CaseRecord record) throws IOException {
        this.record = record;
        listener = new Listener(host, port, this::answer);
    }

    String address() {
        return listener.address();
    }

    /** Makes it spoil a part of the digests that it hands out next: spaces stand where the last digest should. */
    void spoilNextManifest() {
        spoilsNext.set(true);
    }

    /** Returns the bytes of a piece, which differ from those of every other piece and version. */
    static byte[] piece(long version, int number) {
        byte[] bytes = new byte[PIECE_BYTES];
        new Random(version * PIECES + number).nextBytes(bytes);
        ByteBuffer.wrap(bytes).putLong(version).putInt(number);
        return bytes;
    }

    static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime has no SHA-256", e);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private boolean answer(Message request, OutputStream output) throws IOException, InterruptedException {
        long version = Long.parseLong(request.parameter("version").orElse("1"));
        if (request.target().startsWith("/galenahinge/manifest/")) {
            boolean spoils = spoilsNext.getAndSet(false);
            record.add("origin hands out the digests of version " + version + (spoils ? ", without the last" : ""));
            Listener.respondJson(output, 200, "", spoils ? spoilt(manifest(version)) : manifest(version));
        } else if (request.target().startsWith("/galenahinge/piece/")) {
            int number = Integer.parseInt(request.parameter("num").orElseThrow());
            useLink();
            Listener.respond(output, 200, "", piece(version, number));
        } else {
            Listener.respond(output, 404, "", new byte[0]);
        }
        return true;
    }

    /** Takes the time of a piece on the link of 9.9 Mbit/s, which all share. */
    private synchronized void useLink() throws InterruptedException {
        Thread.sleep(Math.round(PIECE_BYTES * 8 / LINK_BITS_PER_MILLI));
    }

    private static String spoilt(String manifest) {
        int start = manifest.lastIndexOf(',');
        int end = manifest.lastIndexOf(']');
        return manifest.substring(0, start) + " ".repeat(end - start) + manifest.substring(end);
    }

    private static String manifest(long version) {
        List<String> digests = new ArrayList<>();
        for (int number = 0; number < PIECES; number++) {
            digests.add("\"" + digest(piece(version, number)) + "\"");
        }
        return "{\"model\":\"" + Deployment.MODEL + "\",\"version\":" + version + ",\"chunk_bytes\":" + PIECE_BYTES
                + ",\"layers\":16,\"digests\":[" + String.join(",", digests) + "]}";
    }
}
