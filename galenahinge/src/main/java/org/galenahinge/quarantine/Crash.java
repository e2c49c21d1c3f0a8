package org.galenahinge.quarantine;

import com.google.common.hash.Hashing;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.galenahinge.quarantine.RequestTrait.Kind;

/**
 * The end of one incarnation of an upstream, with the traits of the requests that were there without a complete response: the
 * requests as wholes, and the parts of the prompts that the upstream has not borne for long.
 * Merging is commutative, associative and idempotent, so that nodes may exchange crashes in any order and repeatedly.
 *
 * @param upstream identifies the incarnation of the upstream
 * @param suspects the traits that may have crashed it
 * @param cleared those of them that were served since, by any upstream
 */
public record Crash(long upstream, Set<RequestTrait> suspects, Set<RequestTrait> cleared) {
    /** The maximum number of suspects of each kind, so that a crash fits into a datagram. */
    public static final int MAXIMUM_SUSPECTS = 64;

    /** Copies the sets and drops the suspects above the maximum: the same ones on all nodes, others for each crash. */
    public Crash {
        suspects = first(suspects, upstream);
        cleared = first(cleared, upstream);
    }

    /**
     * Returns the traits that may still have caused the crash.
     *
     * @return the suspects that are not cleared
     */
    public Set<RequestTrait> remaining() {
        return suspects.stream().filter(trait -> !cleared.contains(trait)).collect(Collectors.toUnmodifiableSet());
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
     * Clears a trait.
     *
     * @param trait the trait
     * @return the crash, in which the trait is no longer a suspect
     */
    public Crash clear(RequestTrait trait) {
        return merge(new Crash(upstream, Set.of(), Set.of(trait)));
    }

    private static Set<RequestTrait> first(Set<RequestTrait> traits, long upstream) {
        if (traits.size() <= MAXIMUM_SUSPECTS) {
            return Set.copyOf(traits);
        }
        return Stream.of(Kind.values())
                .flatMap(kind -> firstOf(kind, traits, upstream))
                .collect(Collectors.toUnmodifiableSet());
    }

    private static Stream<RequestTrait> firstOf(Kind kind, Set<RequestTrait> traits, long upstream) {
        return traits.stream()
                .filter(trait -> trait.kind() == kind)
                .sorted(Comparator.comparingLong(trait -> rank(trait, upstream)))
                .limit(MAXIMUM_SUSPECTS);
    }

    private static long rank(RequestTrait trait, long upstream) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(upstream)
                .putLong(trait.id())
                .hash()
                .asLong();
    }

    private static Set<RequestTrait> union(Set<RequestTrait> first, Set<RequestTrait> second) {
        Set<RequestTrait> union = new LinkedHashSet<>(first);
        union.addAll(second);
        return union;
    }
}
