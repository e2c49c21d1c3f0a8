package org.galenahinge.slot;

import java.nio.ByteBuffer;
import java.util.BitSet;
import java.util.Optional;
import org.galenahinge.weights.PullPlan.Pull;
import org.galenahinge.weights.WeightsManifest;
import org.galenahinge.wire.WireConnection;

/** What the weights controller hears. */
sealed interface WeightsEvent {
    /** The tickets in force say something new about this VM. */
    record Wanted(Optional<Assignment> assignment) implements WeightsEvent {}

    /** The manifests of the wanted weights were read, or could not be. */
    record ManifestRead(String weightsKey, Optional<WeightsManifest> manifest) implements WeightsEvent {}

    /** A neighbour says what it holds. */
    record Possessed(String vm, String weightsKey, BitSet chunks) implements WeightsEvent {}

    /** The link to a neighbour broke. */
    record NeighbourLost(String vm, String weightsKey) implements WeightsEvent {}

    /** A pull ended, with the chunk's content or without. */
    record PullEnded(String weightsKey, Pull pull, PullOutcome outcome) implements WeightsEvent {}

    /** What became of a pull. */
    sealed interface PullOutcome {
        /** The source sent what should be the chunk; it must not be changed. */
        record Came(ByteBuffer content) implements PullOutcome {}

        /** The source has the chunk, but its link is busy. */
        record Busy() implements PullOutcome {}

        /** The source does not have the chunk, or was too late. */
        record Missing() implements PullOutcome {}

        /** The source cannot be reached. */
        record Unreachable() implements PullOutcome {}
    }

    /** A peer wants to hear what this VM holds. */
    record Followed(WireConnection peer, long correlation, String weightsKey) implements WeightsEvent {}
}
