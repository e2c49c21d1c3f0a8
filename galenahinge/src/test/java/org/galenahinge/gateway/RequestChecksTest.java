package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.galenahinge.catalog.ApiKeys;
import org.galenahinge.catalog.Backend;
import org.galenahinge.catalog.CallerLimits;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.catalog.Organisation;
import org.galenahinge.catalog.RequestKind;
import org.galenahinge.catalog.Route;
import org.galenahinge.catalog.RouteTable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestChecksTest {
    /** Guards against an entry that refuses for good what a newer configuration allows, because it does not know that one yet. */
    @ParameterizedTest
    @CsvSource({
        "/known/x, key, true, 0",
        "/known/x, key, false, 0",
        "/new/x, key, true, 404",
        "/new/x, key, false, 503",
        "/known/x, new, true, 401",
        "/known/x, new, false, 503"
    })
    void deniesForGoodOnlyByAConfigurationThatIsConfirmed(String uri, String key, boolean confirmed, int status) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", "h").set("Api-Key", key);
        CallerRequest request = new CallerRequest(
                HttpMethod.GET,
                uri,
                HttpVersion.HTTP_1_1,
                headers,
                new byte[0],
                new RequestMetadata(Optional.empty(), Optional.empty(), Optional.of(key), Optional.empty(), List.of()),
                0);
        RequestChecks.Result result = RequestChecks.check(request, Optional.of(catalog()), confirmed, 0.5);
        if (result instanceof RequestChecks.Result.Rejected rejected) {
            assertThat(rejected.rejection().status()).isEqualTo(status);
            assertThat(rejected.rejection().retryAfter().isPresent()).isEqualTo(status == 503);
            return;
        }
        assertThat(status).isZero();
    }

    private static Catalog catalog() {
        Route route = new Route(
                "r",
                "h",
                "/known/",
                RequestKind.IDEMPOTENT,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ZERO,
                0,
                List.of(new Backend("s", 1)),
                1,
                false,
                Set.of());
        Organisation organisation = new Organisation("o", OptionalInt.empty(), Set.of());
        return new Catalog(
                1,
                RouteTable.of(List.of(route)),
                Map.of(),
                ApiKeys.required(Map.of("key", organisation)),
                CallerLimits.INITIAL);
    }
}
