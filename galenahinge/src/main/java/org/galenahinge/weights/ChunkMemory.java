package org.galenahinge.weights;

import com.google.common.hash.Hashing;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.galenahinge.weights.Manifest.Chunk;

/**
 * Holds verified chunks in memory, within a bound. Chunks are named by content, so two versions share what they have
 * in common. Safe for use from several threads.
 */
public final class ChunkMemory {
    private final long maximumBytes;
    private final Map<String, byte[]> byHash = new ConcurrentHashMap<>();
    private final AtomicLong heldBytes = new AtomicLong();

    private ChunkMemory(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Creates an empty memory.
     *
     * @param maximumBytes the most bytes held
     * @return the memory
     */
    public static ChunkMemory create(long maximumBytes) {
        if (maximumBytes < 1) {
            throw new IllegalArgumentException("maximumBytes must be at least 1: " + maximumBytes);
        }
        return new ChunkMemory(maximumBytes);
    }

    /**
     * Verifies a chunk and keeps it.
     *
     * @param chunk what it should be
     * @param content what arrived
     * @return what became of it
     */
    public Keeping keep(Chunk chunk, byte[] content) {
        if (!matches(chunk, content)) {
            return Keeping.CORRUPT;
        }
        if (byHash.containsKey(chunk.hash())) {
            return Keeping.ALREADY_HELD;
        }
        if (heldBytes.addAndGet(content.length) > maximumBytes) {
            heldBytes.addAndGet(-content.length);
            return Keeping.NO_ROOM;
        }
        if (byHash.putIfAbsent(chunk.hash(), content) != null) {
            heldBytes.addAndGet(-content.length);
        }
        return Keeping.KEPT;
    }

    /**
     * Finds a chunk.
     *
     * @param hash its hash, in hexadecimal
     * @return the content, which must not be changed
     */
    public Optional<byte[]> find(String hash) {
        return Optional.ofNullable(byHash.get(hash));
    }

    /**
     * Tells whether a chunk is held.
     *
     * @param hash its hash, in hexadecimal
     * @return whether it is held
     */
    public boolean holds(String hash) {
        return byHash.containsKey(hash);
    }

    /**
     * Drops every chunk that is not wanted.
     *
     * @param wanted the hashes to keep, in hexadecimal
     */
    public void retain(Set<String> wanted) {
        for (String hash : Set.copyOf(byHash.keySet())) {
            if (!wanted.contains(hash)) {
                drop(hash);
            }
        }
    }

    /**
     * Returns the memory in use.
     *
     * @return bytes
     */
    public long heldBytes() {
        return heldBytes.get();
    }

    private void drop(String hash) {
        byte[] content = byHash.remove(hash);
        if (content != null) {
            heldBytes.addAndGet(-content.length);
        }
    }

    private static boolean matches(Chunk chunk, byte[] content) {
        return content.length == chunk.bytes()
                && Hashing.sha256().hashBytes(content).toString().equals(chunk.hash());
    }

    /** What became of an arriving chunk. */
    public enum Keeping {
        /** Verified and kept. */
        KEPT,
        /** Verified, and held before. */
        ALREADY_HELD,
        /** Not the content that its hash names. */
        CORRUPT,
        /** Verified, but the memory for weights is full. */
        NO_ROOM
    }
}
