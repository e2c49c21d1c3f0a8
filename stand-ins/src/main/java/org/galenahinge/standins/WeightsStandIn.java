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
 * Stands in for the weight store and for the origin: serves manifests and chunks over one link with a limited rate.
 *
 * <p>The contents are generated from the artifact's path, so that two instances serve the same chunks. Every second
 * chunk of a model is the same in all its versions. {@code /control/down} makes all manifest and chunk requests fail
 * with status 503, and {@code /control/up} ends this.
 */
public final class WeightsStandIn implements HttpStandIn.Handler {
    private static final String MANIFESTS = "/v1/manifests/";
    private static final String CHUNKS = "/v1/chunks/";
    /** An adapter has this many times fewer chunks than the base weights of a model. */
    private static final int MODEL_TO_ADAPTER_CHUNKS = 8;

    private static final double NANOS_PER_SECOND = 1e9;

    private final ActorSystem<?> system;
    private final Parameters parameters;
    private final Map<String, Manifest> manifests = new ConcurrentHashMap<>();
    private final Map<String, byte[]> chunks = new ConcurrentHashMap<>();
    private long linkIdleAtNanos = System.nanoTime();
    private long bytesServed;
    private long chunksServed;
    private volatile boolean down;

    /**
     * Creates a weights source.
     *
     * @param system the actor system that runs its streams
     * @param parameters the size of the weights and the rate of the link
     * @param artifacts the paths of the artifacts that it serves, such as {@code models/inlay/1}
     */
    public WeightsStandIn(ActorSystem<?> system, Parameters parameters, List<String> artifacts) {
        this.system = system;
        this.parameters = parameters;
        artifacts.forEach(path -> manifests.put(path, generate(path)));
    }

    /**
     * The size of the weights that a source serves, and the rate of its link.
     *
     * @param chunks the number of chunks of a model's base weights
     * @param chunkBytes the size of a chunk, in bytes
     * @param bytesPerSecond the rate of the link, in bytes a second
     * @param corruptEvery one in this many served chunks is corrupt; 0 for none
     */
    public record Parameters(int chunks, int chunkBytes, long bytesPerSecond, int corruptEvery) {}

    @Override
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        request.discardEntityBytes(system);
        String path = request.getUri().path();
        if (path.equals("/control/down") || path.equals("/control/up")) {
            down = path.endsWith("down");
            return HttpStandIn.completed(HttpStandIn.status(200));
        }
        if (path.equals("/statistics")) {
            return HttpStandIn.completed(HttpStandIn.json(200, statistics()));
        }
        if (down) {
            return HttpStandIn.completed(HttpStandIn.status(503));
        }
        if (path.startsWith(MANIFESTS)) {
            Manifest manifest = manifests.get(path.substring(MANIFESTS.length()));
            return HttpStandIn.completed(manifest == null ? HttpStandIn.status(404) : HttpStandIn.json(200, manifest));
        }
        byte[] content = path.startsWith(CHUNKS) ? chunks.get(path.substring(CHUNKS.length())) : null;
        return content == null ? HttpStandIn.completed(HttpStandIn.status(404)) : serve(content);
    }

    private CompletionStage<HttpResponse> serve(byte[] content) {
        long waitNanos;
        boolean corrupt;
        synchronized (this) {
            long nowNanos = System.nanoTime();
            long startNanos = linkIdleAtNanos - nowNanos > 0 ? linkIdleAtNanos : nowNanos;
            linkIdleAtNanos =
                    startNanos + (long) (content.length / (double) parameters.bytesPerSecond() * NANOS_PER_SECOND);
            waitNanos = linkIdleAtNanos - nowNanos;
            bytesServed += content.length;
            chunksServed++;
            corrupt = parameters.corruptEvery() > 0 && chunksServed % parameters.corruptEvery() == 0;
        }
        byte[] sentContent = corrupt ? flipOneBit(content) : content;
        return HttpStandIn.afterDelay(
                waitNanos / 1_000_000,
                () -> HttpResponse.create().withEntity(ContentTypes.APPLICATION_OCTET_STREAM, sentContent));
    }

    private static byte[] flipOneBit(byte[] content) {
        byte[] copy = content.clone();
        copy[copy.length / 2] ^= 1;
        return copy;
    }

    private synchronized Statistics statistics() {
        return new Statistics(bytesServed, chunksServed);
    }

    private Manifest generate(String path) {
        boolean adapter = path.startsWith("adapters/");
        int count = adapter ? Math.max(1, parameters.chunks() / MODEL_TO_ADAPTER_CHUNKS) : parameters.chunks();
        String withoutVersion = path.substring(0, path.lastIndexOf('/'));
        List<Chunk> manifestChunks = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            boolean shared = !adapter && index % 2 == 0;
            byte[] content = new byte[parameters.chunkBytes()];
            String seedText = (shared ? withoutVersion : path) + "#" + index;
            new Random(seedOf(seedText)).nextBytes(content);
            String hash = hash(content);
            chunks.put(hash, content);
            manifestChunks.add(new Chunk(hash, content.length));
        }
        return new Manifest(path, manifestChunks);
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
