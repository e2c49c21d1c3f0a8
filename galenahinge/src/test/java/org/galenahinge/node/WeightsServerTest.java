package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenahinge.catalog.ApiKeys;
import org.galenahinge.catalog.CallerLimits;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.catalog.RouteTable;
import org.galenahinge.catalog.Service;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.facts.Fact;
import org.galenahinge.facts.FactItem;
import org.galenahinge.facts.FleetFacts;
import org.galenahinge.facts.StorePosition;
import org.galenahinge.log.EventLog;
import org.galenahinge.node.EntryWeightsClient.ServiceWeights;
import org.galenahinge.supply.WeightsCache;
import org.galenahinge.supply.WeightsDigests;
import org.galenahinge.supply.WeightsSource;
import org.galenahinge.upstream.NamedVersion;
import org.galenahinge.upstream.VersionAges.AgedVersion;
import org.galenahinge.upstream.WeightsVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WeightsServerTest {
    private static final WeightsVersion NEW = new WeightsVersion("m", 2);

    private final ManualTimers timers = new ManualTimers();
    private final EventLog log = EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry());
    private final FleetFacts facts = FleetFacts.create(WeightsServerTest::decode, timers, log);
    private final WeightsCache cache = WeightsCache.create(new OneSource(), timers, log, new MetricRegistry());
    private final WeightsServer server = new WeightsServer(facts, cache, timers, List::of);
    private final List<ServiceWeights> responses = new ArrayList<>();

    /** Guards against a slot process that knows its target and never hears that the version was named long before. */
    @ParameterizedTest
    @ValueSource(longs = {0, 2})
    void tellsAgesAlsoWhereTheVersionIsKnown(long knownVersion) {
        publish("config", "version");
        facts.versionAgeTold(new AgedVersion(NEW, Duration.ofSeconds(4)));
        request(knownVersion);
        timers.advance(Duration.ofSeconds(3));
        assertThat(responses).hasSize(1);
        assertThat(responses.get(0).digests().isPresent()).isEqualTo(knownVersion == 0);
        NamedVersion named = responses.get(0).plan().versions().get(0);
        assertThat(named.version()).isEqualTo(2);
        assertThat(named.isAgeKnown()).isTrue();
        assertThat(named.maximumAge()).isBetween(Duration.ofSeconds(4), Duration.ofMillis(6_500));
    }

    /** An entry that has just started does not know how old a version is, and says so. */
    @Test
    void saysThatItDoesNotKnowAnAge() {
        publish("config", "version");
        request(0);
        NamedVersion named = responses.get(0).plan().versions().get(0);
        assertThat(named.isAgeKnown()).isFalse();
        assertThat(named.maximumAge()).isGreaterThanOrEqualTo(Duration.ofHours(1));
    }

    private void publish(String... keys) {
        List<FactItem> items = new ArrayList<>();
        for (String key : keys) {
            items.add(FactItem.written(key, new byte[0], new StorePosition(1, items.size() + 1)));
        }
        facts.apply(items);
        server.factsChanged();
    }

    private void request(long knownVersion) {
        String path = "/weights?service=s&upstream=10.0.0.1:80&known=" + knownVersion + "&wait=2000";
        boolean handled = server.handle(
                new QueryStringDecoder(path), response -> responses.add(EntryWeightsClient.decode(response.body())));
        assertThat(handled).isTrue();
    }

    private static Fact decode(FactItem item) {
        if (item.key().equals("version")) {
            return new Fact.VersionNamed(NEW);
        }
        EngineProfile engine = new EngineProfile(8, 1_000, 1, 0, 0, 1, 0, 100, 1, 1, 1, 16, List.of(NEW.model()));
        Service service = new Service("s", 1, Optional.of(engine), Optional.empty());
        return new Fact.ConfigurationPublished(new Catalog(
                1, RouteTable.of(List.of()), Map.of("s", service), ApiKeys.notRequired(), CallerLimits.INITIAL));
    }

    private static final class OneSource implements WeightsCache.Sources, WeightsSource {
        @Override
        public Optional<WeightsSource> manifestSource(String model, int failures) {
            return Optional.of(this);
        }

        @Override
        public Optional<WeightsSource> chunkSource(String model, int failures) {
            return Optional.of(this);
        }

        @Override
        public OptionalInt chunks(String model) {
            return OptionalInt.of(1);
        }

        @Override
        public CompletionStage<WeightsDigests> manifest(WeightsVersion weights) {
            String digest = Hashing.sha256().hashBytes(new byte[] {1}).toString();
            return CompletableFuture.completedFuture(new WeightsDigests(weights, List.of(digest)));
        }

        @Override
        public CompletionStage<byte[]> chunk(WeightsVersion weights, int number) {
            return CompletableFuture.completedFuture(new byte[] {1});
        }

        @Override
        public boolean isOrigin() {
            return false;
        }

        @Override
        public String name() {
            return "source";
        }
    }
}
