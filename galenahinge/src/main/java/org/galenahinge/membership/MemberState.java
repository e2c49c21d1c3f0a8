package org.galenahinge.membership;

import java.util.Objects;

/**
 * Holds what is known of one member. Immutable. Two states of a member are joined: the higher number wins, at the same
 * number the graver status.
 *
 * @param vm the member's VM
 * @param number grows whenever the member refutes what others say of it
 * @param status what is held of it
 * @param sinceNanos when this was learned, in nanoseconds of the local clock
 */
public record MemberState(String vm, long number, Status status, long sinceNanos) {
    /** Checks the parts. */
    public MemberState {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(status, "status");
    }

    /**
     * Tells whether this state wins over another of the same member.
     *
     * @param other the other state
     * @return whether this one wins
     */
    public boolean supersedes(MemberState other) {
        if (number != other.number) {
            return number > other.number;
        }
        return status.compareTo(other.status) > 0;
    }

    /**
     * Tells whether work should go there: a suspicion lowers weight, and proves nothing.
     *
     * @return whether nothing speaks against it
     */
    public boolean isUsable() {
        return status == Status.ALIVE;
    }

    /** What is held of a member, from harmless to grave. */
    public enum Status {
        /** Nothing speaks against it. */
        ALIVE,
        /** It did not answer, neither directly nor through others. */
        SUSPECT,
        /** It stayed suspect for long. */
        DEAD,
        /** It said that it leaves. */
        LEFT
    }
}
