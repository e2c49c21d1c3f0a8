package org.galenahinge.weights;

import com.google.common.hash.Hashing;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.galenahinge.weights.Manifest.Chunk;

/**
 * Holds verified chunks in memory, up to a maximum size. Chunks are identified by the hash of their content, so two
 * versions share the chunks that they have in common. Nothing is evicted when the cache is full; the owner removes
 * chunks by {@link #retainAll}. Thread-safe.
 */
public final class ChunkCache {
    private final long maximumBytes;
    private final Map<String, byte[]> byHash = new ConcurrentHashMap<>();
    private final AtomicLong usedBytes = new AtomicLong();

    private ChunkCache(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Creates an empty cache.
     *
     * @param maximumBytes the maximum size of all chunks, in bytes, at least 1
     * @return the cache
     */
    public static ChunkCache create(long maximumBytes) {
        if (maximumBytes < 1) {
            throw new IllegalArgumentException("maximumBytes must be at least 1: " + maximumBytes);
        }
        return new ChunkCache(maximumBytes);
    }

    /**
     * Verifies the size and hash of a chunk and adds it.
     *
     * @param chunk the expected chunk
     * @param content the received content, which must not be changed afterwards
     * @return whether the chunk was added, and if not, why
     */
    public AddResult add(Chunk chunk, byte[] content) {
        if (!matches(chunk, content)) {
            return AddResult.CORRUPT;
        }
        if (byHash.containsKey(chunk.hash())) {
            return AddResult.ALREADY_PRESENT;
        }
        if (usedBytes.addAndGet(content.length) > maximumBytes) {
            usedBytes.addAndGet(-content.length);
            return AddResult.CACHE_FULL;
        }
        if (byHash.putIfAbsent(chunk.hash(), content) != null) {
            usedBytes.addAndGet(-content.length);
        }
        return AddResult.KEPT;
    }

    /**
     * Finds a chunk.
     *
     * @param hash the SHA-256 of its content, in hexadecimal
     * @return the content, which must not be changed, or empty if the cache does not contain the chunk
     */
    public Optional<byte[]> find(String hash) {
        return Optional.ofNullable(byHash.get(hash));
    }

    /**
     * Returns whether the cache contains a chunk.
     *
     * @param hash the SHA-256 of its content, in hexadecimal
     * @return whether the cache contains it
     */
    public boolean contains(String hash) {
        return byHash.containsKey(hash);
    }

    /**
     * Removes every chunk whose hash is not listed.
     *
     * @param hashes the hashes of the chunks that stay, in hexadecimal
     */
    public void retainAll(Set<String> hashes) {
        for (String hash : Set.copyOf(byHash.keySet())) {
            if (!hashes.contains(hash)) {
                remove(hash);
            }
        }
    }

    /**
     * Returns the size of all chunks in the cache.
     *
     * @return the size, in bytes
     */
    public long usedBytes() {
        return usedBytes.get();
    }

    private void remove(String hash) {
        byte[] content = byHash.remove(hash);
        if (content != null) {
            usedBytes.addAndGet(-content.length);
        }
    }

    private static boolean matches(Chunk chunk, byte[] content) {
        return content.length == chunk.bytes()
                && Hashing.sha256().hashBytes(content).toString().equals(chunk.hash());
    }

    /** The result of adding a chunk. */
    public enum AddResult {
        /** The chunk was verified and added. */
        KEPT,
        /** The chunk was verified, but the cache already contained it. */
        ALREADY_PRESENT,
        /** The content does not match the size or hash of the chunk. */
        CORRUPT,
        /** The chunk was verified, but the cache is full. */
        CACHE_FULL
    }
}
