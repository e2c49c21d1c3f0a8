package org.galenahinge.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouteTableTest {
    private static final RouteTable TABLE =
            RouteTable.of(List.of(route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")));

    @ParameterizedTest
    @CsvSource({
        "h, /a/x, short",
        "h, /a/b/x, long",
        "h, /a/b/, long",
        "h, /a/b, short",
        "H:8080, /a/b/c/d, long",
        "h, /c/x, other",
        "h, /ab/x, none",
        "h, /, none",
        "unknown, /a/x, none"
    })
    void findsTheRouteWithTheLongestPrefix(String host, String path, String expected) {
        assertThat(TABLE.find(host, path).map(Route::name).orElse("none")).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"0.0, first", "0.89, first", "0.91, second", "0.999, second"})
    void picksServicesInProportionToTheirWeights(double random, String expected) {
        Route route = new Route(
                "split",
                "h",
                "/",
                RequestKind.IDEMPOTENT,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ZERO,
                0,
                List.of(new Backend("first", 90), new Backend("second", 10)),
                1,
                false);
        assertThat(route.pickService(random)).isEqualTo(expected);
    }

    /** Guards against a host whose entries are chosen without the regions of one of its routes, or by those of another. */
    @ParameterizedTest
    @CsvSource({"H:8080, a b c", "other, d", "free, any", "unknown, any", "'', any"})
    void joinsTheRegionsOfTheRoutesOfAHost(String host, String expected) {
        RouteTable table = RouteTable.of(List.of(
                route("first", "h", "/a/", Set.of("a", "b")),
                route("second", "h", "/b/", Set.of("c")),
                route("third", "h", "/c/", Set.of()),
                route("fourth", "other", "/", Set.of("d")),
                route("fifth", "free", "/", Set.of())));
        AllowedRegions regions = table.allowedRegions(host);
        String names = regions.names()
                .map(known -> String.join(" ", new TreeSet<>(known)))
                .orElse("any");
        assertThat(names).isEqualTo(expected);
    }

    private static Route route(String name, String prefix) {
        return route(name, "h", prefix, Set.of());
    }

    private static Route route(String name, String host, String prefix, Set<String> regions) {
        return new Route(
                name,
                host,
                prefix,
                RequestKind.IDEMPOTENT,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ZERO,
                0,
                List.of(new Backend("s", 1)),
                1,
                false,
                regions);
    }
}
