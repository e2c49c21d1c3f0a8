package org.galenahinge.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class CrashTest {
    private static final long UPSTREAM = 7;
    private static final int PARTS = 3 * Crash.MAXIMUM_SUSPECTS;

    /** Guards against nodes that never agree on a crash, and tell each other of it for ever, because each drops others. */
    @Property(tries = 200, seed = "1")
    void mergesInAnyOrderAndRepeatedly(
            @ForAll("crashes") Crash first, @ForAll("crashes") Crash second, @ForAll("crashes") Crash third) {
        Crash merged = first.merge(second).merge(third);
        assertThat(third.merge(first).merge(second)).isEqualTo(merged);
        assertThat(first.merge(second.merge(third))).isEqualTo(merged);
        assertThat(merged.merge(first).merge(merged)).isEqualTo(merged);
        assertThat(merged.suspects()).hasSizeLessThanOrEqualTo(Crash.MAXIMUM_SUSPECTS);
        assertThat(merged.cleared()).hasSizeLessThanOrEqualTo(Crash.MAXIMUM_SUSPECTS);
    }

    /** A part that one node has cleared is no suspect for any, however many parts there are. */
    @Property(tries = 200, seed = "2")
    void keepsPartsCleared(@ForAll("crashes") Crash first, @ForAll("crashes") Crash second) {
        Crash clearing = first;
        for (RequestTrait part : first.suspects()) {
            clearing = clearing.clear(part);
        }
        Crash merged = second.merge(clearing);
        assertThat(merged.remaining()).doesNotContainAnyElementsOf(first.suspects());
    }

    @Test
    void keepsAsManySuspectsOfEachKind() {
        Set<RequestTrait> traits = new HashSet<>();
        for (int id = 0; id < PARTS; id++) {
            traits.add(RequestTrait.ofPart(id));
            traits.add(RequestTrait.ofRequest(id));
        }
        Crash crash = new Crash(UPSTREAM, traits, Set.of());
        assertThat(crash.suspects()).hasSize(2 * Crash.MAXIMUM_SUSPECTS);
        assertThat(crash.suspects().stream().filter(RequestTrait::isWholeRequest))
                .hasSize(Crash.MAXIMUM_SUSPECTS);
    }

    @Provide
    Arbitrary<Crash> crashes() {
        return Arbitraries.longs()
                .between(0, PARTS)
                .map(RequestTrait::ofPart)
                .set()
                .ofMinSize(1)
                .ofMaxSize(PARTS)
                .map(parts -> new Crash(UPSTREAM, parts, every(parts)));
    }

    /** A third of the parts, the same ones in each crash. */
    private static Set<RequestTrait> every(Set<RequestTrait> parts) {
        return parts.stream().filter(part -> part.id() % 3 == 0).collect(Collectors.toSet());
    }
}
