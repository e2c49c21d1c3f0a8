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

/** Describes the exact weights that an engine loads: base weights and adapters, with one fingerprint over all. */
public final class WeightsManifest {
    private final String key;
    private final List<Chunk> sequence;
    private final List<Chunk> distinct;
    private final String fingerprint;

    private WeightsManifest(String key, List<Chunk> sequence) {
        this.key = key;
        this.sequence = List.copyOf(sequence);
        this.distinct = distinctOf(sequence);
        this.fingerprint = fingerprintOf(key, sequence);
    }

    /**
     * Joins the manifests of all artifacts.
     *
     * @param key the name of the exact weights, see {@code ModelWorkload.weightsKey}
     * @param manifests the manifests in order of loading
     * @return the joined manifest
     */
    public static WeightsManifest of(String key, List<Manifest> manifests) {
        Objects.requireNonNull(key, "key");
        List<Chunk> sequence = new ArrayList<>();
        manifests.forEach(manifest -> sequence.addAll(manifest.chunks()));
        return new WeightsManifest(key, sequence);
    }

    /**
     * Returns the name of the exact weights.
     *
     * @return the key
     */
    public String key() {
        return key;
    }

    /**
     * Returns the chunks in order of loading; the same chunk may stand several times.
     *
     * @return an unmodifiable list
     */
    public List<Chunk> sequence() {
        return sequence;
    }

    /**
     * Returns each chunk once; its position is its number in bitmaps.
     *
     * @return an unmodifiable list
     */
    public List<Chunk> distinct() {
        return distinct;
    }

    /**
     * Returns the fingerprint over model, version, adapters and every chunk.
     *
     * @return SHA-256 in hexadecimal
     */
    public String fingerprint() {
        return fingerprint;
    }

    /**
     * Returns the size of a whole copy.
     *
     * @return bytes
     */
    public long totalBytes() {
        return sequence.stream().mapToLong(Chunk::bytes).sum();
    }

    private static List<Chunk> distinctOf(List<Chunk> sequence) {
        Map<String, Chunk> byHash = new LinkedHashMap<>();
        sequence.forEach(chunk -> byHash.putIfAbsent(chunk.hash(), chunk));
        return List.copyOf(byHash.values());
    }

    private static String fingerprintOf(String key, List<Chunk> sequence) {
        Hasher hasher = Hashing.sha256().newHasher().putString(key, StandardCharsets.UTF_8);
        for (Chunk chunk : sequence) {
            hasher.putString("\n" + chunk.hash(), StandardCharsets.UTF_8);
        }
        return hasher.hash().toString();
    }
}
