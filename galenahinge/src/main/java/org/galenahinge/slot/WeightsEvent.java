package org.galenahinge.slot;

import java.nio.ByteBuffer;
import java.util.BitSet;
import java.util.Optional;
import org.galenahinge.weights.PullPlan.Pull;
import org.galenahinge.weights.WeightsManifest;
import org.galenahinge.wire.WireConnection;

/** Event that the weights controller handles. */
sealed interface WeightsEvent {
    /** The assignment of this VM by the tickets in force changed. */
    record AssignmentChanged(Optional<Assignment> assignment) implements WeightsEvent {}

    /** A read of the manifests of the wanted weights ended; empty when it failed. */
    record ManifestRead(String weightsKey, Optional<WeightsManifest> manifest) implements WeightsEvent {}

    /** A neighbour reported which chunks it holds. */
    record PossessionReceived(String vm, String weightsKey, BitSet chunks) implements WeightsEvent {}

    /** The connection to a neighbour was lost or could not be opened. */
    record NeighbourConnectionLost(String vm, String weightsKey) implements WeightsEvent {}

    /** A pull ended, with or without the chunk's content. */
    record PullEnded(String weightsKey, Pull pull, PullOutcome outcome) implements WeightsEvent {}

    /** Outcome of a pull. */
    sealed interface PullOutcome {
        /** The source sent content, not yet verified; the buffer must not be changed. */
        record Received(ByteBuffer content) implements PullOutcome {}

        /** The source has the chunk, but its link is busy. */
        record Busy() implements PullOutcome {}

        /** The source does not have the chunk, or did not reply in time. */
        record Missing() implements PullOutcome {}

        /** The source could not be reached. */
        record Unreachable() implements PullOutcome {}
    }

    /** A peer subscribed to reports of the chunks that this VM holds. */
    record PossessionRequested(WireConnection connection, long correlation, String weightsKey)
            implements WeightsEvent {}
}
