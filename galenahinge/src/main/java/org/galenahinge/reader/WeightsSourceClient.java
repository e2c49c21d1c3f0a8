package org.galenahinge.reader;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import org.galenahinge.weights.Artifact;
import org.galenahinge.weights.Manifest;

/** Reads manifests and chunks from a weights source, such as the origin. */
public final class WeightsSourceClient {
    private static final long MAXIMUM_MANIFEST_BYTES = 8L << 20;
    private static final Duration MANIFEST_TIMEOUT = Duration.ofSeconds(10);

    private final HttpReader reader;
    private final URI source;

    private WeightsSourceClient(HttpReader reader, URI source) {
        this.reader = reader;
        this.source = source;
    }

    /**
     * Creates a client.
     *
     * @param reader the HTTP reader
     * @param source the base URI of the weights source
     * @return the client
     */
    public static WeightsSourceClient create(HttpReader reader, URI source) {
        return new WeightsSourceClient(
                Objects.requireNonNull(reader, "reader"), Objects.requireNonNull(source, "source"));
    }

    /**
     * Reads a manifest.
     *
     * @param artifact the artifact
     * @return the validated manifest of the artifact. Completes exceptionally if the read fails or the manifest is
     *     invalid.
     */
    public CompletionStage<Manifest> readManifest(Artifact artifact) {
        URI uri = URI.create(source + "/v1/manifests/" + artifact.path());
        return reader.get(uri, MANIFEST_TIMEOUT, MAXIMUM_MANIFEST_BYTES)
                .thenApply(bytes -> Manifest.parse(artifact, bytes));
    }

    /**
     * Reads a chunk. The caller must verify the content.
     *
     * @param hash the hash of the chunk, in hexadecimal
     * @param bytes the size of the chunk, in bytes; a larger response is an error
     * @param timeout how long to wait for the complete chunk
     * @return the content
     */
    public CompletionStage<byte[]> readChunk(String hash, int bytes, Duration timeout) {
        return reader.get(URI.create(source + "/v1/chunks/" + hash), timeout, bytes);
    }
}
