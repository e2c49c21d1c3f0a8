package org.galenahinge.weights;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.galenahinge.weights.Manifest.Chunk;

/** Lists all chunks that an engine loads, of the base weights and the adapters, with one fingerprint over them. */
public final class WeightsManifest {
    private final String key;
    private final List<Chunk> loadSequence;
    private final List<Chunk> distinctChunks;
    private final String fingerprint;

    private WeightsManifest(String key, List<Chunk> loadSequence) {
        this.key = key;
        this.loadSequence = List.copyOf(loadSequence);
        this.distinctChunks = distinctOf(loadSequence);
        this.fingerprint = fingerprintOf(key, loadSequence);
    }

    /**
     * Concatenates the manifests of all artifacts of a workload.
     *
     * @param key the name of the weights, see {@code ModelWorkload.weightsKey}
     * @param manifests the manifests, in the order in which the engine loads them
     * @return the combined manifest
     */
    public static WeightsManifest of(String key, List<Manifest> manifests) {
        Objects.requireNonNull(key, "key");
        List<Chunk> loadSequence = new ArrayList<>();
        manifests.forEach(manifest -> loadSequence.addAll(manifest.chunks()));
        return new WeightsManifest(key, loadSequence);
    }

    /**
     * Returns the name of the weights: model, version and adapters.
     *
     * @return the key, see {@code ModelWorkload.weightsKey}
     */
    public String key() {
        return key;
    }

    /**
     * Returns the chunks in the order in which the engine loads them. A chunk may occur several times.
     *
     * @return an unmodifiable list
     */
    public List<Chunk> loadSequence() {
        return loadSequence;
    }

    /**
     * Returns each chunk once, in the order of its first occurrence. Bitmaps of chunks are indexed by this list.
     *
     * @return an unmodifiable list
     */
    public List<Chunk> distinctChunks() {
        return distinctChunks;
    }

    /**
     * Returns the fingerprint over the key and the hash of every chunk.
     *
     * @return SHA-256 in hexadecimal
     */
    public String fingerprint() {
        return fingerprint;
    }

    /**
     * Returns the size of a complete copy.
     *
     * @return the size, in bytes; a chunk that occurs several times counts each time
     */
    public long totalBytes() {
        return loadSequence.stream().mapToLong(Chunk::bytes).sum();
    }

    private static List<Chunk> distinctOf(List<Chunk> loadSequence) {
        Map<String, Chunk> byHash = new LinkedHashMap<>();
        loadSequence.forEach(chunk -> byHash.putIfAbsent(chunk.hash(), chunk));
        return List.copyOf(byHash.values());
    }

    private static String fingerprintOf(String key, List<Chunk> loadSequence) {
        Hasher hasher = Hashing.sha256().newHasher().putString(key, StandardCharsets.UTF_8);
        for (Chunk chunk : loadSequence) {
            hasher.putString("\n" + chunk.hash(), StandardCharsets.UTF_8);
        }
        return hasher.hash().toString();
    }
}
