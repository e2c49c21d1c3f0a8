package org.galenahinge.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AllowedRegionsTest {
    /** Guards against two lists without a common region that allow every region, as an absent list does. */
    @ParameterizedTest
    @CsvSource({
        "'', '', a b c",
        "a, '', a",
        "'', b, b",
        "a b, b c, b",
        "a, b, ''",
    })
    void allowsWhatBothListsAllow(String first, String second, String expected) {
        AllowedRegions both = AllowedRegions.listed(split(first)).and(AllowedRegions.listed(split(second)));
        Set<String> allowed =
                Set.of("a", "b", "c").stream().filter(both::allows).collect(Collectors.toSet());
        assertThat(allowed).isEqualTo(split(expected));
        assertThat(both.isAny()).isEqualTo(first.isEmpty() && second.isEmpty());
        assertThat(both.allowsOneOf(Set.of("a", "b", "c"))).isEqualTo(!expected.isEmpty());
    }

    private static Set<String> split(String text) {
        return text.isEmpty() ? Set.of() : Arrays.stream(text.split(" ", -1)).collect(Collectors.toSet());
    }
}
