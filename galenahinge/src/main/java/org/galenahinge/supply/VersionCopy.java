package org.galenahinge.supply;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

/** The verified chunks of one version that a node holds in memory. Belongs to one thread. */
public final class VersionCopy {
    private final WeightsDigests digests;
    private final List<Optional<byte[]>> chunks;
    private final List<Boolean> requested;
    private int held;

    private VersionCopy(WeightsDigests digests) {
        this.digests = digests;
        this.chunks = new ArrayList<>();
        this.requested = new ArrayList<>();
        for (int number = 0; number < digests.size(); number++) {
            chunks.add(Optional.empty());
            requested.add(false);
        }
    }

    /**
     * Creates a copy without chunks.
     *
     * @param digests the digests that chunks must match
     * @return the copy
     */
    public static VersionCopy of(WeightsDigests digests) {
        return new VersionCopy(Objects.requireNonNull(digests, "digests"));
    }

    /**
     * Returns the digests that chunks must match.
     *
     * @return the digests
     */
    public WeightsDigests digests() {
        return digests;
    }

    /**
     * Returns a chunk.
     *
     * @param number its number, from 0
     * @return its bytes, which must not be changed, or empty if it is not held
     */
    public Optional<byte[]> chunk(int number) {
        return number >= 0 && number < chunks.size() ? chunks.get(number) : Optional.empty();
    }

    /**
     * Adds a chunk if its digest matches.
     *
     * @param number its number, from 0
     * @param content its bytes
     * @return whether the version has such a chunk and its digest matched
     */
    public boolean put(int number, byte[] content) {
        requestFailed(number);
        if (number >= chunks.size() || !digests.isIntact(number, content)) {
            return false;
        }
        if (chunks.get(number).isEmpty()) {
            held++;
        }
        chunks.set(number, Optional.of(content));
        return true;
    }

    /**
     * Marks the first chunk that is neither held nor requested as requested.
     *
     * @return its number, or empty if there is none
     */
    public OptionalInt requestNext() {
        for (int number = 0; number < chunks.size(); number++) {
            if (chunks.get(number).isEmpty() && !requested.get(number)) {
                requested.set(number, true);
                return OptionalInt.of(number);
            }
        }
        return OptionalInt.empty();
    }

    /**
     * Records that the request for a chunk failed, so that it can be requested again.
     *
     * @param number its number, from 0
     */
    public void requestFailed(int number) {
        if (number < requested.size()) {
            requested.set(number, false);
        }
    }

    /**
     * Returns a copy with the digests of another manifest of the same version, but for those of chunks that are held: a
     * chunk that matches its digest shows that the digest is intact.
     *
     * @param other the digests of the other manifest
     * @return the copy, with the chunks that match
     */
    public VersionCopy correctedBy(WeightsDigests other) {
        List<String> corrected = new ArrayList<>(other.digests());
        for (int number = 0; number < Math.min(chunks.size(), other.size()); number++) {
            if (chunks.get(number).isPresent()) {
                corrected.set(number, digests.digests().get(number));
            }
        }
        VersionCopy copy = of(new WeightsDigests(other.weights(), corrected));
        for (int number = 0; number < chunks.size(); number++) {
            int position = number;
            chunks.get(number).ifPresent(content -> copy.put(position, content));
        }
        return copy;
    }

    /**
     * Returns the number of chunks held.
     *
     * @return the number
     */
    public int held() {
        return held;
    }

    /**
     * Tells whether all chunks are held.
     *
     * @return whether the copy is complete
     */
    public boolean isComplete() {
        return held == chunks.size();
    }
}
