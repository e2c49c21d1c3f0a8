package org.galenahinge.supply;

import com.google.common.hash.Hashing;
import java.util.List;
import java.util.Objects;
import org.galenahinge.upstream.WeightsVersion;

/**
 * The digests of the chunks that make up a version.
 *
 * @param weights the model and its version
 * @param digests the SHA-256 of each chunk in hexadecimal, in order
 */
public record WeightsDigests(WeightsVersion weights, List<String> digests) {
    /** Checks and copies the parts. */
    public WeightsDigests {
        Objects.requireNonNull(weights, "weights");
        digests = List.copyOf(digests);
        if (digests.isEmpty()) {
            throw new IllegalArgumentException("a version has at least one chunk");
        }
    }

    /**
     * Returns how many chunks there are.
     *
     * @return the number
     */
    public int size() {
        return digests.size();
    }

    /**
     * Tells whether bytes are a chunk as it should be.
     *
     * @param number the chunk's number, from 0
     * @param content the bytes
     * @return whether the digest agrees
     */
    public boolean isIntact(int number, byte[] content) {
        return Hashing.sha256().hashBytes(content).toString().equals(digests.get(number));
    }
}
