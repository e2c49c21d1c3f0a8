package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.galenahinge.catalog.AllowedRegions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EntryDirectoryTest {
    private static final Map<String, String> REGIONS = Map.of("za", "a", "zb", "b", "zc", "c");

    private final EntryDirectory directory = new EntryDirectory(zone -> REGIONS.getOrDefault(zone, zone));

    /** Guards against requests of routes with allowed regions that go to an entry elsewhere while one there is up. */
    @ParameterizedTest
    @CsvSource({
        // up, allowed, region, zone, expected
        "a1 a2 b1 c1, '', a, za, a1 a2",
        "a1 b1 c1, '', a, za, a1 b1 c1",
        "a1 b1 c1, '', '', '', a1 b1 c1",
        "a1 a2 b1 c1, b, a, za, a1 a2",
        "a1 b1 b2 c1, b, a, za, a1 b1 b2",
        "b1 b2 c1 c2, b, a, za, b1 b2",
        "a1 b1 c1, b, '', za, a1 b1",
        "a1 b1 c1, b, c, zc, b1 c1",
        "a1 b1 c1, b c, d, zd, b1 c1",
        "c1 c2, b, a, za, c1 c2",
        "a1 a2 b1, b, d, za, b1",
        "'', b, a, za, ''",
    })
    void namesEntriesOfTheCallersRegionAndTheAllowedOnes(
            String up, String allowed, String region, String zone, String expected) {
        List<NodeAddress> entries =
                split(up).stream().map(EntryDirectoryTest::entry).toList();
        AllowedRegions regions = AllowedRegions.listed(Set.copyOf(split(allowed)));
        List<NodeAddress> chosen = directory.choose(entries, new EntryDirectory.Query(region, zone, 64), regions);
        assertThat(chosen.stream().map(NodeAddress::name)).isEqualTo(split(expected));
    }

    @Test
    void namesNoMoreThanTheMaximum() {
        List<NodeAddress> entries = List.of(entry("a1"), entry("a2"), entry("a3"));
        assertThat(directory.choose(entries, new EntryDirectory.Query("a", "za", 2), AllowedRegions.any()))
                .hasSize(2);
    }

    private static NodeAddress entry(String name) {
        return new NodeAddress(name, "z" + name.charAt(0), "10.0.0.1", 80, 81, 82);
    }

    private static List<String> split(String text) {
        return text.isEmpty() ? List.of() : Arrays.asList(text.split(" ", -1));
    }
}
