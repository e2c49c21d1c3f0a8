package org.galenahinge.weights;

/**
 * Limits on the chunk pulls of one VM: how many run at once, and how long sources that fail are avoided.
 *
 * @param originCopies the number of regions that fetch each chunk from the origin, at least 1: more is faster, fewer is
 *     cheaper
 * @param maximumOriginPulls the maximum number of concurrent pulls from the origin, at least 1
 * @param maximumWaitingPulls the maximum number of concurrent pulls that wait at regional fetchers of other regions, at
 *     least 1
 * @param maximumPeerPulls the maximum number of concurrent pulls from neighbours, at least 1
 * @param maximumPullsPerPeer the maximum number of concurrent pulls from one neighbour, at least 1
 * @param maximumNeighbours the maximum number of neighbours whose chunks this VM follows
 * @param endgameChunks when at most this many chunks are missing, late pulls are duplicated
 * @param stallTimeoutNanos how long without progress before the next VM in rank takes over as regional fetcher, in
 *     nanoseconds
 * @param duplicateAfterNanos the age at which a pull is late and is duplicated, in nanoseconds
 * @param failureBackoffNanos how long a source that failed gets no pulls, in nanoseconds
 * @param busyBackoffNanos how long a source that is busy gets no pulls, in nanoseconds
 */
public record PullLimits(
        int originCopies,
        int maximumOriginPulls,
        int maximumWaitingPulls,
        int maximumPeerPulls,
        int maximumPullsPerPeer,
        int maximumNeighbours,
        int endgameChunks,
        long stallTimeoutNanos,
        long duplicateAfterNanos,
        long failureBackoffNanos,
        long busyBackoffNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    public PullLimits {
        if (originCopies < 1
                || maximumOriginPulls < 1
                || maximumWaitingPulls < 1
                || maximumPeerPulls < 1
                || maximumPullsPerPeer < 1) {
            throw new IllegalArgumentException(
                    "the number of origin copies and every maximum of concurrent pulls must be at least 1");
        }
    }

    /**
     * Returns the default limits with a given number of copies from the origin.
     *
     * @param originCopies the number of regions that fetch each chunk from the origin, at least 1
     * @return the limits
     */
    public static PullLimits forOriginCopies(int originCopies) {
        long second = 1_000 * NANOS_PER_MILLI;
        return new PullLimits(originCopies, 2, 6, 6, 2, 12, 8, 2 * second, second, second, 60 * NANOS_PER_MILLI);
    }
}
