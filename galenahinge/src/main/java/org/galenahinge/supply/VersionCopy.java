package org.galenahinge.supply;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

/** The chunks of one version that a node holds in memory, verified. Belongs to one thread. */
public final class VersionCopy {
    private final WeightsDigests digests;
    private final List<Optional<byte[]>> chunks;
    private final List<Boolean> asked;
    private int held;

    private VersionCopy(WeightsDigests digests) {
        this.digests = digests;
        this.chunks = new ArrayList<>();
        this.asked = new ArrayList<>();
        for (int number = 0; number < digests.size(); number++) {
            chunks.add(Optional.empty());
            asked.add(false);
        }
    }

    /**
     * Creates a copy without chunks.
     *
     * @param digests what the chunks must be
     * @return the copy
     */
    public static VersionCopy of(WeightsDigests digests) {
        return new VersionCopy(Objects.requireNonNull(digests, "digests"));
    }

    /**
     * Returns what the chunks must be.
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
     * @return its bytes, which must not be changed, or empty when it is not held
     */
    public Optional<byte[]> chunk(int number) {
        return number >= 0 && number < chunks.size() ? chunks.get(number) : Optional.empty();
    }

    /**
     * Takes in a chunk, if its digest agrees.
     *
     * @param number its number, from 0
     * @param content its bytes
     * @return whether it is intact
     */
    public boolean put(int number, byte[] content) {
        asked.set(number, false);
        if (!digests.isIntact(number, content)) {
            return false;
        }
        if (chunks.get(number).isEmpty()) {
            held++;
        }
        chunks.set(number, Optional.of(content));
        return true;
    }

    /**
     * Names the first chunk that is neither held nor asked for, and notes that it is asked for now.
     *
     * @return its number, or empty when there is none
     */
    public OptionalInt askNext() {
        for (int number = 0; number < chunks.size(); number++) {
            if (chunks.get(number).isEmpty() && !asked.get(number)) {
                asked.set(number, true);
                return OptionalInt.of(number);
            }
        }
        return OptionalInt.empty();
    }

    /**
     * Notes that a chunk that was asked for did not come.
     *
     * @param number its number, from 0
     */
    public void missed(int number) {
        asked.set(number, false);
    }

    /**
     * Returns how many chunks are held.
     *
     * @return the number
     */
    public int held() {
        return held;
    }

    /**
     * Tells whether all chunks are held.
     *
     * @return whether the copy is whole
     */
    public boolean isWhole() {
        return held == chunks.size();
    }
}
