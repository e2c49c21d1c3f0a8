package org.galenahinge.membership;

import java.util.Objects;

/**
 * The state of one member, as known to another. Immutable. Of two states of a member the one with the higher state
 * version wins; at the same version the later status in the order of {@link Status} wins.
 *
 * @param vm the VM of the member
 * @param stateVersion the version of the state, from 0; only the member raises it, to refute a status that others hold
 * @param status the status
 * @param changedNanos when this state was recorded here, in nanoseconds of the local clock
 */
public record MemberState(String vm, long stateVersion, Status status, long changedNanos) {
    public MemberState {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(status, "status");
    }

    /**
     * Returns whether this state replaces another one of the same member.
     *
     * @param other the other state
     * @return whether this state replaces the other
     */
    public boolean supersedes(MemberState other) {
        if (stateVersion != other.stateVersion) {
            return stateVersion > other.stateVersion;
        }
        return status.compareTo(other.status) > 0;
    }

    /**
     * Returns whether the member should get work. A suspect gets none, although a suspicion does not prove that it is
     * down.
     *
     * @return whether the member is alive
     */
    public boolean isUsable() {
        return status == Status.ALIVE;
    }

    /** The status of a member. The order matters: a later status replaces an earlier one of the same state version. */
    public enum Status {
        /** The member acknowledges pings, or is new. */
        ALIVE,
        /** The member acknowledged neither a direct nor an indirect ping. */
        SUSPECT,
        /** The member stayed suspect for the suspicion timeout. */
        DEAD,
        /** The member announced that it leaves. */
        LEFT
    }
}
