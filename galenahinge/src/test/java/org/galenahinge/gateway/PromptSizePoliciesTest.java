package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.galenahinge.catalog.ApiKeys;
import org.galenahinge.catalog.Backend;
import org.galenahinge.catalog.CallerLimits;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.catalog.RequestKind;
import org.galenahinge.catalog.Route;
import org.galenahinge.catalog.RouteTable;
import org.galenahinge.catalog.Service;
import org.galenahinge.log.EventLog;
import org.galenahinge.placement.MixedPromptSizes;
import org.galenahinge.placement.PromptSizePolicy;
import org.junit.jupiter.api.Test;

class PromptSizePoliciesTest {
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private final MetricRegistry registry = new MetricRegistry();
    private final EventLog log = EventLog.to("test", lines, registry);
    private final PromptSizePolicies policies = new PromptSizePolicies(log, registry);

    /** Guards against a policy that outlives the configuration that called for it, or reaches another service. */
    @Test
    void followsTheConfiguration() {
        assertThat(policies.of("mixed")).isSameAs(PromptSizePolicy.NONE);
        policies.refresh(Optional.of(catalog(1, 402, 802)));
        assertThat(policies.of("mixed")).isInstanceOf(MixedPromptSizes.class);
        assertThat(policies.of("other")).isSameAs(PromptSizePolicy.NONE);
        policies.refresh(Optional.empty());
        assertThat(policies.of("mixed")).isInstanceOf(MixedPromptSizes.class);
        assertThat(registry.getGauges().get("services.prompt_sizes").getValue()).isEqualTo(1);
        policies.refresh(Optional.of(catalog(2, 402, 402)));
        assertThat(policies.of("mixed")).isSameAs(PromptSizePolicy.NONE);
    }

    /** One line when the treatment of a service changes, none for a configuration that leaves it as it is. */
    @Test
    void logsChanges() {
        policies.refresh(Optional.of(catalog(1, 402, 802)));
        policies.refresh(Optional.of(catalog(2, 403, 802)));
        policies.refresh(Optional.of(catalog(3, 402, 402)));
        await().atMost(Duration.ofSeconds(5)).until(() -> text().contains("false"));
        assertThat(text().lines().filter(line -> line.contains("prompt_sizes"))).hasSize(2);
        log.close();
    }

    private String text() {
        return lines.toString(StandardCharsets.UTF_8);
    }

    private static Catalog catalog(long version, int... targetMillis) {
        EngineProfile engine = new EngineProfile(
                12,
                685_000,
                7.4,
                0.0232,
                0.0322,
                31.9,
                1.18,
                2_048,
                5,
                16,
                OptionalInt.of(64),
                32_768,
                List.of("m"),
                OptionalInt.of(949));
        List<Route> routes = IntStream.range(0, targetMillis.length)
                .mapToObj(number -> route("/" + number + "/", targetMillis[number]))
                .toList();
        Map<String, Service> services = Map.of(
                "mixed", new Service("mixed", 100, Optional.of(engine), Optional.empty()),
                "other", new Service("other", 100, Optional.of(engine), Optional.empty()));
        return new Catalog(version, RouteTable.of(routes), services, ApiKeys.notRequired(), CallerLimits.INITIAL);
    }

    private static Route route(String prefix, int targetMillis) {
        Duration target = Duration.ofMillis(targetMillis);
        List<Backend> backends = List.of(new Backend("mixed", 1));
        return new Route(
                "r", "h", prefix, RequestKind.STREAM, Duration.ofSeconds(6), target, target, 1, backends, 2, false);
    }
}
