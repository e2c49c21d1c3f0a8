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
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.assertj.core.data.Offset;
import org.galenahinge.catalog.ApiKeys;
import org.galenahinge.catalog.CallerLimits;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.catalog.ColdStart;
import org.galenahinge.catalog.ColdStartBounds;
import org.galenahinge.catalog.RouteTable;
import org.galenahinge.catalog.Service;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.limit.NamedLimits;
import org.galenahinge.limit.NamedLimits.Position;
import org.galenahinge.log.EventLog;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.wire.WireAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ColdUpstreamsTest {
    private final ManualTimers timers = new ManualTimers();
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private final NamedLimits limits = NamedLimits.create(() -> new Position(0, 1));
    private final EventLog log = EventLog.to("test", lines, new MetricRegistry());
    private final ColdUpstreams cold = new ColdUpstreams(limits, ColdStartBounds.DEFAULT, timers, log);
    private final UpstreamLimits upstreamLimits = new UpstreamLimits(limits, cold, timers);

    /** The cold time counts from when the record was read, also if the same record is read again later. */
    @Test
    void isColdUntilTheTimeOfItsRecordIsOver() {
        read(record(100, 1, 10_000));
        assertThat(isCold(100)).isTrue();
        assertThat(cold.count()).isEqualTo(1);
        advance(6_000);
        read(record(100, 1, 10_000));
        advance(3_999);
        assertThat(isCold(100)).isTrue();
        advance(1);
        assertThat(isCold(100)).isFalse();
        assertThat(cold.count()).isZero();
    }

    /** Guards against a limit on an upstream whose later record, incarnation or absence says that it is not cold. */
    @ParameterizedTest
    @CsvSource({"100, 2, 0, 0", "200, 2, 0, 0", "200, 2, 3000, 3000", "100, 2, 20000, 20000"})
    void followsALaterRecord(long born, long revision, long coldMillis, long expectedMillis) {
        read(record(100, 1, 10_000));
        advance(1_000);
        read(record(born, revision, coldMillis));
        assertThat(isCold(100)).isEqualTo(born == 100 && expectedMillis > 0);
        assertThat(isCold(born)).isEqualTo(expectedMillis > 0);
        advance(Math.max(0, expectedMillis - 1));
        assertThat(isCold(born)).isEqualTo(expectedMillis > 0);
        advance(1);
        assertThat(isCold(born)).isFalse();
    }

    /** Guards against turns at a cold upstream that are lost because any record is read again. */
    @Test
    void keepsATurnWhenRecordsAreReadAgain() {
        Upstream upstream = record(100, 1, 10_000);
        read(upstream);
        while (!upstreamLimits.allows(upstream, timers.nanoTime())) {
            advance(1);
        }
        read(upstream);
        assertThat(upstreamLimits.allows(upstream, timers.nanoTime())).isTrue();
    }

    /** Guards against a turn of a limit that an upstream named being used after the upstream has become cold. */
    @Test
    void needsATurnAtAColdUpstreamBesideOneOfANamedLimit() {
        Upstream upstream = record(100, 1, 0);
        read(upstream);
        limits.recordResponse(upstream.incarnationKey(), OptionalDouble.of(100), timers.nanoTime());
        advance(500);
        OptionalLong placed = upstreamLimits.recordPlaced(upstream);
        read(record(100, 2, 10_000));
        assertThat(upstreamLimits.maySend(upstream, placed)).isFalse();
    }

    @Test
    void forgetsAnUpstreamThatIsGone() {
        read(record(100, 1, 10_000));
        cold.refresh(List.of(), catalog(true));
        assertThat(isCold(100)).isFalse();
        assertThat(limits.isEmpty()).isTrue();
    }

    /** The configuration may be read after the records, or say that the upstreams of a service are never cold. */
    @Test
    void needsTheConfigurationOfTheService() {
        Upstream upstream = record(100, 1, 10_000);
        cold.refresh(List.of(upstream), Optional.empty());
        cold.refresh(List.of(upstream), catalog(false));
        assertThat(isCold(100)).isFalse();
        cold.refresh(List.of(upstream), catalog(true));
        assertThat(isCold(100)).isTrue();
    }

    /** Guards against the first turns coming on top of the requests of the second before, when it was warm. */
    @ParameterizedTest
    @CsvSource({"0, 1000", "-1, 0"})
    void pausesAnUpstreamThatServedWhileWarm(long coldMillisBefore, long firstTurnMillis) {
        if (coldMillisBefore == 0) {
            read(record(100, 1, 0));
            advance(500);
        }
        read(record(100, 2, 10_000));
        long firstMillis = 0;
        while (!upstreamLimits.allows(record(100, 2, 10_000), timers.nanoTime())) {
            advance(1);
            firstMillis++;
        }
        assertThat(firstMillis).isBetween(firstTurnMillis, firstTurnMillis + 100);
    }

    /** Guards against requests that were placed before the upstream was cold, or before their turn lapsed, and come late. */
    @Test
    void needsAValidTurnWhenTheConnectionIsOpen() {
        Upstream upstream = record(100, 2, 10_000);
        read(record(100, 1, 0));
        OptionalLong placedWhileWarm = upstreamLimits.recordPlaced(upstream);
        assertThat(upstreamLimits.maySend(upstream, placedWhileWarm)).isTrue();
        read(upstream);
        assertThat(upstreamLimits.maySend(upstream, placedWhileWarm)).isFalse();
        advance(1_100);
        OptionalLong placedWhileCold = upstreamLimits.recordPlaced(upstream);
        assertThat(placedWhileCold).isPresent();
        assertThat(upstreamLimits.maySend(upstream, placedWhileCold)).isTrue();
        advance(400);
        while (upstreamLimits.recordPlaced(upstream).isPresent()) {
            // Uses the turns that are left.
        }
        assertThat(upstreamLimits.maySend(upstream, placedWhileCold)).isFalse();
    }

    @Test
    void growsTheWeightOfAnUpstreamWhileItWarmsUp() {
        Upstream upstream = record(100, 1, 10_000);
        read(upstream);
        assertThat(cold.coldShare(upstream, timers.nanoTime())).isEqualTo(1);
        advance(7_500);
        assertThat(cold.coldShare(upstream, timers.nanoTime())).isCloseTo(0.25, Offset.offset(0.001));
        advance(5_000);
        assertThat(cold.coldShare(upstream, timers.nanoTime())).isZero();
    }

    /** One line each time that the upstream becomes cold, none for a record that is written again meanwhile. */
    @Test
    void logsThatAnUpstreamIsCold() {
        read(record(100, 1, 10_000));
        read(record(100, 2, 9_000));
        read(record(100, 3, 0));
        read(record(100, 4, 5_000));
        log.close();
        await().untilAsserted(() -> {
            String written = lines.toString(StandardCharsets.UTF_8);
            assertThat(written.split("upstream_cold", -1)).hasSize(3);
            assertThat(written).contains("\"remaining_ms\":10000").contains("\"remaining_ms\":5000");
        });
    }

    private void read(Upstream upstream) {
        cold.refresh(List.of(upstream), catalog(true));
    }

    private boolean isCold(long born) {
        return limits.isCold(record(born, 1, 0).incarnationKey(), timers.nanoTime());
    }

    private void advance(long millis) {
        timers.advance(Duration.ofMillis(millis));
    }

    private static Optional<Catalog> catalog(boolean warmsUp) {
        Optional<ColdStart> coldStart =
                warmsUp ? Optional.of(new ColdStart(Duration.ofSeconds(10), 14)) : Optional.empty();
        Service service = new Service("s", 1, Optional.empty(), Optional.empty(), coldStart);
        CallerLimits callerLimits = new CallerLimits(1, 1, Duration.ZERO, Duration.ZERO);
        return Optional.of(
                new Catalog(1, RouteTable.of(List.of()), Map.of("s", service), ApiKeys.notRequired(), callerLimits));
    }

    private static Upstream record(long born, long revision, long coldMillis) {
        WireAddress address = new WireAddress("10.0.0.1", 80);
        return new Upstream(
                "a", "s", address, "z", 16, false, Optional.empty(), born, revision, Duration.ofMillis(coldMillis));
    }
}
