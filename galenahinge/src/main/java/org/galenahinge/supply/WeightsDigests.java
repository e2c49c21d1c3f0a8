package org.galenahinge.supply;

import com.google.common.hash.Hashing;
import java.util.List;
import java.util.Objects;
import org.galenahinge.upstream.WeightsVersion;

/**
 * The digests of all chunks of a version, used to verify them.
 *
 * @param weights the model and its version
 * @param digests the SHA-256 of each chunk in lower-case hexadecimal, ordered by chunk number; at least one
 */
public record WeightsDigests(WeightsVersion weights, List<String> digests) {
    /** Copies the digests; rejects a version without chunks. */
    public WeightsDigests {
        Objects.requireNonNull(weights, "weights");
        digests = List.copyOf(digests);
        if (digests.isEmpty()) {
            throw new IllegalArgumentException("a version has at least one chunk");
        }
    }

    /**
     * Returns the number of chunks.
     *
     * @return the number
     */
    public int size() {
        return digests.size();
    }

    /**
     * Verifies a chunk.
     *
     * @param number the chunk's number, from 0
     * @param content the bytes
     * @return whether its digest matches
     */
    public boolean isIntact(int number, byte[] content) {
        return Hashing.sha256().hashBytes(content).toString().equals(digests.get(number));
    }
}
