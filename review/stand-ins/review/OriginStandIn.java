package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Random;
import java.util.StringJoiner;
import java.util.function.Predicate;

/** The origin of weights. */
public final class OriginStandIn implements AutoCloseable {
    public static final String MODEL = "draft-model";
    public static final int PIECES = 64;
    public static final int PIECE_BYTES = 32_768;

    private final CaseRecord record;
    private final Predicate<Long> spoilsManifest;
    private final ServerStandIn server;

    /**
     * Starts an origin.
     *
     * @param record where its manifests are recorded
     * @param spoilsManifest tells, for each answer with a manifest of a version, whether one digit of it is spoilt
     */
    public OriginStandIn(CaseRecord record, Predicate<Long> spoilsManifest) throws IOException {
        this.record = record;
        this.spoilsManifest = spoilsManifest;
        this.server = new ServerStandIn("origin", "weights", "127.0.0.1", record, (request, answer) -> {}, new Files());
    }

    public String address() {
        return server.address();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Returns a piece of a version, the same at each call. */
    public static byte[] piece(long version, int number) {
        byte[] bytes = new byte[PIECE_BYTES];
        new Random(version * 1_000 + number).nextBytes(bytes);
        return bytes;
    }

    private static String digest(long version, int number) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(piece(version, number)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private String manifest(long version) {
        StringJoiner digests = new StringJoiner("\",\"", "\"", "\"");
        for (int number = 0; number < PIECES; number++) {
            digests.add(digest(version, number));
        }
        String manifest = "{\"model\":\"" + MODEL + "\",\"version\":" + version + ",\"chunk_bytes\":" + PIECE_BYTES
                + ",\"layers\":16,\"digests\":[" + digests + "]}";
        boolean spoilt = spoilsManifest.test(version);
        record.line("origin sends the manifest of version " + version + (spoilt ? ", one digit of it spoilt" : ""));
        return spoilt ? withOneDigitSpoilt(manifest) : manifest;
    }

    private static String withOneDigitSpoilt(String manifest) {
        int at = manifest.indexOf("\"digests\":[\"") + "\"digests\":[\"".length() + 5;
        char spoilt = manifest.charAt(at) == '0' ? '1' : '0';
        return manifest.substring(0, at) + spoilt + manifest.substring(at + 1);
    }

    private final class Files implements ServerStandIn.Control {
        @Override
        public String recordFields() {
            return "";
        }

        @Override
        public void answer(Message call, ServerStandIn.Answer answer) throws IOException {
            long version = Query.number(call.path(), "version");
            if (call.path().startsWith("/galenahinge/manifest/")) {
                answer.whole(200, manifest(version));
            } else if (call.path().startsWith("/galenahinge/piece/")) {
                byte[] piece = piece(version, (int) Query.number(call.path(), "num"));
                answer.whole(200, new String(piece, StandardCharsets.ISO_8859_1));
            } else {
                answer.whole(404, "");
            }
        }
    }
}
