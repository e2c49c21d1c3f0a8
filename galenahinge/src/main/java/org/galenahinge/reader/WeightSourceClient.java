package org.galenahinge.reader;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import org.galenahinge.weights.Artifact;
import org.galenahinge.weights.Manifest;

/** Reads manifests and chunks from the weight store or the origin. */
public final class WeightSourceClient {
    private static final long MAXIMUM_MANIFEST_BYTES = 8L << 20;
    private static final Duration MANIFEST_TIMEOUT = Duration.ofSeconds(10);

    private final HttpReader reader;
    private final URI source;

    private WeightSourceClient(HttpReader reader, URI source) {
        this.reader = reader;
        this.source = source;
    }

    /**
     * Creates a client.
     *
     * @param reader reads over HTTP
     * @param source where the store or origin listens
     * @return the client
     */
    public static WeightSourceClient create(HttpReader reader, URI source) {
        return new WeightSourceClient(
                Objects.requireNonNull(reader, "reader"), Objects.requireNonNull(source, "source"));
    }

    /**
     * Reads a manifest.
     *
     * @param artifact what it describes
     * @return the checked manifest
     */
    public CompletionStage<Manifest> manifest(Artifact artifact) {
        URI uri = URI.create(source + "/v1/manifests/" + artifact.path());
        return reader.get(uri, MANIFEST_TIMEOUT, MAXIMUM_MANIFEST_BYTES)
                .thenApply(bytes -> Manifest.parse(artifact, bytes));
    }

    /**
     * Reads a chunk. Its content is not checked here.
     *
     * @param hash the chunk's hash, in hexadecimal
     * @param bytes the chunk's size, in bytes
     * @param timeout how long to wait for all of it
     * @return the content
     */
    public CompletionStage<byte[]> chunk(String hash, int bytes, Duration timeout) {
        return reader.get(URI.create(source + "/v1/chunks/" + hash), timeout, bytes);
    }
}
