package org.galenahinge.standins;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Stands in for the weight store and for the origin: manifests and chunks, over one link of a given rate.
 *
 * <p>Contents are made from the artifact's name, so two of these agree. Every second chunk of a model is the same in
 * all its versions.
 */
public final class WeightsStandIn implements HttpStandIn.Handler {
    private static final String MANIFESTS = "/v1/manifests/";
    private static final String CHUNKS = "/v1/chunks/";
    private static final int ADAPTER_SHARE = 8;
    private static final double NANOS_PER_SECOND = 1e9;

    private final ActorSystem<?> system;
    private final Shape shape;
    private final Map<String, Manifest> manifests = new ConcurrentHashMap<>();
    private final Map<String, byte[]> chunks = new ConcurrentHashMap<>();
    private long linkFreeNanos = System.nanoTime();
    private long bytesServed;
    private long chunksServed;
    private volatile boolean down;

    /**
     * Creates a source.
     *
     * @param system runs its streams
     * @param shape what it holds and how fast its link is
     * @param artifacts the paths of the artifacts that it holds, such as {@code models/inlay/1}
     */
    public WeightsStandIn(ActorSystem<?> system, Shape shape, List<String> artifacts) {
        this.system = system;
        this.shape = shape;
        artifacts.forEach(path -> manifests.put(path, make(path)));
    }

    /**
     * What a source holds and how fast its link is.
     *
     * @param chunks chunks of a model's base weights
     * @param chunkBytes the size of a chunk, in bytes
     * @param bytesPerSecond the rate of the link, in bytes a second
     * @param corruptEvery every so many chunks one is corrupt; 0 for none
     */
    public record Shape(int chunks, int chunkBytes, long bytesPerSecond, int corruptEvery) {}

    @Override
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        request.discardEntityBytes(system);
        String path = request.getUri().path();
        if (path.equals("/control/down") || path.equals("/control/up")) {
            down = path.endsWith("down");
            return HttpStandIn.now(HttpStandIn.status(200));
        }
        if (path.equals("/statistics")) {
            return HttpStandIn.now(HttpStandIn.json(200, statistics()));
        }
        if (down) {
            return HttpStandIn.now(HttpStandIn.status(503));
        }
        if (path.startsWith(MANIFESTS)) {
            Manifest manifest = manifests.get(path.substring(MANIFESTS.length()));
            return HttpStandIn.now(manifest == null ? HttpStandIn.status(404) : HttpStandIn.json(200, manifest));
        }
        byte[] content = path.startsWith(CHUNKS) ? chunks.get(path.substring(CHUNKS.length())) : null;
        return content == null ? HttpStandIn.now(HttpStandIn.status(404)) : serve(content);
    }

    private CompletionStage<HttpResponse> serve(byte[] content) {
        long waitNanos;
        boolean corrupt;
        synchronized (this) {
            long now = System.nanoTime();
            long begin = linkFreeNanos - now > 0 ? linkFreeNanos : now;
            linkFreeNanos = begin + (long) (content.length / (double) shape.bytesPerSecond() * NANOS_PER_SECOND);
            waitNanos = linkFreeNanos - now;
            bytesServed += content.length;
            chunksServed++;
            corrupt = shape.corruptEvery() > 0 && chunksServed % shape.corruptEvery() == 0;
        }
        byte[] sent = corrupt ? corrupted(content) : content;
        return HttpStandIn.later(
                waitNanos / 1_000_000,
                () -> HttpResponse.create().withEntity(ContentTypes.APPLICATION_OCTET_STREAM, sent));
    }

    private static byte[] corrupted(byte[] content) {
        byte[] copy = content.clone();
        copy[copy.length / 2] ^= 1;
        return copy;
    }

    private synchronized Statistics statistics() {
        return new Statistics(bytesServed, chunksServed);
    }

    private Manifest make(String path) {
        boolean adapter = path.startsWith("adapters/");
        int count = adapter ? Math.max(1, shape.chunks() / ADAPTER_SHARE) : shape.chunks();
        String withoutVersion = path.substring(0, path.lastIndexOf('/'));
        List<Chunk> made = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            boolean shared = !adapter && index % 2 == 0;
            byte[] content = new byte[shape.chunkBytes()];
            String seed = (shared ? withoutVersion : path) + "#" + index;
            new Random(seedOf(seed)).nextBytes(content);
            String hash = hash(content);
            chunks.put(hash, content);
            made.add(new Chunk(hash, content.length));
        }
        return new Manifest(path, made);
    }

    private static long seedOf(String text) {
        long seed = 1_125_899_906_842_597L;
        for (byte character : text.getBytes(StandardCharsets.UTF_8)) {
            seed = 31 * seed + character;
        }
        return seed;
    }

    static String hash(byte[] content) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private record Chunk(String hash, int bytes) {}

    private record Manifest(String artifact, List<Chunk> chunks) {}

    private record Statistics(long bytesServed, long chunksServed) {}
}
