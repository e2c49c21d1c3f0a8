package org.galenahinge.quarantine;

import com.google.common.hash.Hashing;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The end of one incarnation of an engine, with the parts of the prompts that were there without having brought an event.
 * Merging is commutative, associative and idempotent, so that nodes may exchange crashes in any order and repeatedly.
 *
 * @param upstream identifies the incarnation of the engine
 * @param suspects the parts of the prompts that may have crashed it
 * @param cleared those of them that have brought an event since, at any engine
 */
public record Crash(long upstream, Set<PromptPart> suspects, Set<PromptPart> cleared) {
    /** The maximum number of suspects of a crash, so that it fits into a datagram. */
    public static final int MAXIMUM_SUSPECTS = 64;

    /** Copies the sets and drops the suspects above the maximum: the same ones on all nodes, others for each crash. */
    public Crash {
        suspects = first(suspects, upstream);
        cleared = first(cleared, upstream);
    }

    /**
     * Returns the parts that may still have caused the crash.
     *
     * @return the suspects that are not cleared
     */
    public Set<PromptPart> remaining() {
        return suspects.stream().filter(part -> !cleared.contains(part)).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Adds what another node knows of the same crash.
     *
     * @param other the same crash
     * @return both together
     */
    public Crash merge(Crash other) {
        Objects.requireNonNull(other, "other");
        if (other.upstream != upstream) {
            throw new IllegalArgumentException("crashes of different engines");
        }
        return new Crash(upstream, union(suspects, other.suspects), union(cleared, other.cleared));
    }

    /**
     * Clears a part.
     *
     * @param part the part
     * @return the crash, in which the part is no longer a suspect
     */
    public Crash clear(PromptPart part) {
        return merge(new Crash(upstream, Set.of(), Set.of(part)));
    }

    private static Set<PromptPart> first(Set<PromptPart> parts, long upstream) {
        if (parts.size() <= MAXIMUM_SUSPECTS) {
            return Set.copyOf(parts);
        }
        return parts.stream()
                .sorted(Comparator.comparingLong(part -> rank(part, upstream)))
                .limit(MAXIMUM_SUSPECTS)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static long rank(PromptPart part, long upstream) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(upstream)
                .putLong(part.id())
                .hash()
                .asLong();
    }

    private static Set<PromptPart> union(Set<PromptPart> first, Set<PromptPart> second) {
        Set<PromptPart> union = new LinkedHashSet<>(first);
        union.addAll(second);
        return union;
    }
}
