package org.galenahinge.weights;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.regex.Pattern;

/**
 * Lists the chunks of one artifact, in order.
 *
 * @param artifact the artifact that the chunks make up
 * @param chunks the chunks, in order
 */
public record Manifest(Artifact artifact, List<Chunk> chunks) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");
    private static final int MAXIMUM_CHUNKS = 1_000_000;

    /** The maximum size of a chunk, in bytes: a chunk must fit into one frame between nodes. */
    public static final int MAXIMUM_CHUNK_BYTES = 4 << 20;

    public Manifest {
        Objects.requireNonNull(artifact, "artifact");
        chunks = List.copyOf(chunks);
    }

    /**
     * Parses a JSON manifest and checks it.
     *
     * @param artifact the artifact that the manifest describes
     * @param bytes the JSON document
     * @return the manifest
     * @throws CompletionException if the document is not valid JSON
     * @throws IllegalArgumentException if the chunks are missing or too many, or if one has a wrong hash or size
     */
    public static Manifest parse(Artifact artifact, byte[] bytes) {
        Document document = read(bytes);
        if (document.chunks() == null
                || document.chunks().isEmpty()
                || document.chunks().size() > MAXIMUM_CHUNKS) {
            throw new IllegalArgumentException("chunks: must be a list of 1 to " + MAXIMUM_CHUNKS + " chunks");
        }
        for (int index = 0; index < document.chunks().size(); index++) {
            check(document.chunks().get(index), index);
        }
        return new Manifest(artifact, document.chunks());
    }

    private static Document read(byte[] bytes) {
        try {
            return JSON.readValue(bytes, Document.class);
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    private static void check(Chunk chunk, int index) {
        if (chunk.hash() == null || !HASH.matcher(chunk.hash()).matches()) {
            throw new IllegalArgumentException("chunks[" + index + "].hash: must be 64 hexadecimal digits");
        }
        if (chunk.bytes() < 1 || chunk.bytes() > MAXIMUM_CHUNK_BYTES) {
            throw new IllegalArgumentException("chunks[" + index + "].bytes: must be from 1 to " + MAXIMUM_CHUNK_BYTES);
        }
    }

    /**
     * A piece of an artifact, identified by the hash of its content.
     *
     * @param hash SHA-256 of the content, in hexadecimal
     * @param bytes the size of the content, in bytes
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Chunk(String hash, int bytes) {}

    @JsonIgnoreProperties(ignoreUnknown = true)
    private record Document(List<Chunk> chunks) {}
}
