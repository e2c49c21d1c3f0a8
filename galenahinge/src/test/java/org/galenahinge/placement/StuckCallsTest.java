package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StuckCallsTest {
    private final StuckCalls<String> stuck = new StuckCalls<>(3);

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void movesAsManyAsThereArePlacesTheFirstFirst(int places) {
        List<String> all = List.of("a", "b", "c");
        all.forEach(stuck::add);
        List<String> moved = new ArrayList<>();
        stuck.serve(item -> moved.size() < places && moved.add(item));
        assertThat(moved).isEqualTo(all.subList(0, places));
        assertThat(stuck.size()).isEqualTo(3 - places);
    }

    /** Moving one ends its old attempt, which offers places again before the first offer is over. */
    @Test
    void movesEachOnlyOnceWhenPlacesAreOfferedWithin() {
        List.of("a", "b").forEach(stuck::add);
        List<String> moved = new ArrayList<>();
        stuck.serve(item -> {
            moved.add(item);
            stuck.serve(moved::add);
            return true;
        });
        assertThat(moved).containsExactly("a", "b");
    }

    @Test
    void holdsNoMoreThanItsBound() {
        List.of("a", "b", "c").forEach(stuck::add);
        assertThat(stuck.add("a")).isTrue();
        assertThat(stuck.add("d")).isFalse();
        stuck.remove("b");
        assertThat(stuck.add("d")).isTrue();
    }
}
