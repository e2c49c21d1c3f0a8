package org.galenahinge.weights;

/**
 * Bounds what is asked for at once.
 *
 * @param originCopies how many copies of each chunk may be drawn from the origin: more is faster, fewer is cheaper
 * @param originPulls the most pulls from the origin at once
 * @param patientPulls the most requests waiting at gateways of other regions at once
 * @param peerPulls the most pulls from neighbours at once
 * @param pullsPerPeer the most pulls from one neighbour at once
 * @param neighbours the most neighbours followed
 * @param finalChunks how few chunks must be missing before late ones are asked for twice
 * @param stallNanos how long without progress before the next in rank steps in, in nanoseconds
 * @param duplicateAfterNanos how long before a late final chunk is asked for twice, in nanoseconds
 * @param avoidNanos how long a source that failed is avoided, in nanoseconds
 * @param busyNanos how long a source that is busy is left alone, in nanoseconds
 */
public record PullLimits(
        int originCopies,
        int originPulls,
        int patientPulls,
        int peerPulls,
        int pullsPerPeer,
        int neighbours,
        int finalChunks,
        long stallNanos,
        long duplicateAfterNanos,
        long avoidNanos,
        long busyNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Checks the bounds. */
    public PullLimits {
        if (originCopies < 1 || originPulls < 1 || patientPulls < 1 || peerPulls < 1 || pullsPerPeer < 1) {
            throw new IllegalArgumentException("every bound must be at least 1");
        }
    }

    /**
     * Returns the bounds for a given number of copies from the origin.
     *
     * @param originCopies how many copies of each chunk may be drawn from the origin
     * @return the bounds
     */
    public static PullLimits forOriginCopies(int originCopies) {
        long second = 1_000 * NANOS_PER_MILLI;
        return new PullLimits(originCopies, 2, 6, 6, 2, 12, 8, 2 * second, second, second, 60 * NANOS_PER_MILLI);
    }
}
