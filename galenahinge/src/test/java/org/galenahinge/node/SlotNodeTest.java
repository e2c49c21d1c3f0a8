package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.galenahinge.facts.FactDecoder;
import org.galenahinge.facts.FactSource;
import org.galenahinge.gateway.RequestTranslator;
import org.galenahinge.log.EventLog;
import org.galenahinge.placement.ServiceRetryBudget;
import org.galenahinge.supply.EngineControl;
import org.galenahinge.supply.WeightsSource;
import org.galenahinge.upstream.WeightsVersion;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;
import org.junit.jupiter.api.Test;

class SlotNodeTest {
    private static final WireAddress ENGINE = new WireAddress("127.0.0.1", 9);
    private static final Duration TIME = Duration.ofSeconds(8);

    /** Guards against a slot process that never reads its engine's report again because it failed on one. */
    @Test
    void readsReportsOnAfterOneOnWhichItFails() throws Exception {
        AtomicInteger reports = new AtomicInteger();
        MetricRegistry metrics = new MetricRegistry();
        NetworkThreads threads = NetworkThreads.start(1);
        EventLog log = EventLog.to("test", OutputStream.nullOutputStream(), metrics);
        try {
            SlotNode.start(settings(), "engines", new OddEngine(reports), threads, log, metrics);
            await().atMost(Duration.ofSeconds(5)).until(() -> reports.get() >= 3);
            assertThat(reports.get()).isGreaterThanOrEqualTo(3);
        } finally {
            threads.close();
            log.close();
        }
    }

    private static NodeSettings settings() throws IOException {
        return new NodeSettings(
                "slot",
                "127.0.0.1",
                "zone-a",
                Map.of(),
                freePort(),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                Optional.of(ENGINE),
                new NodeSettings.Bounds(TIME, TIME, TIME, TIME),
                new ServiceRetryBudget.Limits(0.2, 1, TIME));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return Math.min(socket.getLocalPort(), 65_000);
        }
    }

    /** A platform whose engine sends reports that cannot be handled. */
    private record OddEngine(AtomicInteger reports) implements NodePlatform, EngineControl {
        @Override
        public CompletionStage<EngineReport> report() {
            reports.incrementAndGet();
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletionStage<Void> stage(String model, int number, byte[] content) {
            return CompletableFuture.failedFuture(new IllegalStateException("not expected"));
        }

        @Override
        public CompletionStage<Optional<byte[]>> readStaged(String model, int number) {
            return CompletableFuture.failedFuture(new IllegalStateException("not expected"));
        }

        @Override
        public CompletionStage<LoadResult> load(
                WeightsVersion weights, long expectedCommands, BooleanSupplier stillValid) {
            return CompletableFuture.failedFuture(new IllegalStateException("not expected"));
        }

        @Override
        public EngineControl engine(NetworkThreads threads, WireAddress address) {
            return this;
        }

        @Override
        public FactSource store(NetworkThreads threads) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FactDecoder decoder() {
            throw new UnsupportedOperationException();
        }

        @Override
        public RequestTranslator translator() {
            throw new UnsupportedOperationException();
        }

        @Override
        public WeightsSource origin(NetworkThreads threads, WireAddress address) {
            throw new UnsupportedOperationException();
        }
    }
}
