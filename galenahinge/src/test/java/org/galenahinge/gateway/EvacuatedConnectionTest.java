package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.galenahinge.catalog.ApiKeys;
import org.galenahinge.catalog.Backend;
import org.galenahinge.catalog.CallerLimits;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.catalog.RequestKind;
import org.galenahinge.catalog.Route;
import org.galenahinge.catalog.RouteTable;
import org.galenahinge.facts.Fact;
import org.galenahinge.facts.FactItem;
import org.galenahinge.facts.FleetFacts;
import org.galenahinge.facts.StorePosition;
import org.galenahinge.limit.NamedLimits;
import org.galenahinge.log.EventLog;
import org.galenahinge.placement.ServiceRetryBudget;
import org.galenahinge.quarantine.CrashLedger;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.wire.EventLoopTimers;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests whose connection to an upstream opens after the upstream's failure domain was evacuated. */
class EvacuatedConnectionTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Duration ARRIVAL_TIME = Duration.ofMillis(300);
    private static final String SERVICE = "s";

    private final NetworkThreads threads = NetworkThreads.start(1);
    private final EventLoop loop = threads.group().next();
    private final EventLog log = EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry());
    private final RecordedResponse response = new RecordedResponse();
    private ServerSocket evacuated;
    private ServerSocket staying;
    private FleetFacts facts;
    private Gateway gateway;

    @BeforeEach
    void start() throws IOException {
        evacuated = listen();
        staying = listen();
        EventLoopTimers timers = EventLoopTimers.of(loop);
        facts = FleetFacts.create(this::decode, timers, log);
        gateway = Gateway.create(
                new GatewaySettings(
                        "zone-a", new ServiceRetryBudget.Limits(1, 10, Duration.ofSeconds(10)), Duration.ofSeconds(8)),
                loop,
                facts,
                new PlainTranslator(),
                timers,
                log,
                new MetricRegistry(),
                () -> 1,
                CrashLedger.create(trait -> false),
                NamedLimits.create(() -> new NamedLimits.Position(0, 1)),
                1);
        facts.onChange(gateway::factsChanged);
    }

    @AfterEach
    void stop() throws IOException {
        threads.close();
        evacuated.close();
        staying.close();
    }

    /** Guards against a request that is sent to an evacuated upstream because it was placed before the evacuation. */
    @Test
    void rejectsTheRequestAsNotRunWhenNoOtherUpstreamExists() throws Exception {
        startThenApply("evacuation");
        assertThat(response.complete.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .startsWith("503 ")
                .contains("evacuated", "zone-b");
        assertReceivesNothing();
    }

    /** Guards against a request that is rejected although an upstream of another failure domain can serve it. */
    @Test
    void sendsTheRequestToAnotherFailureDomain() throws Exception {
        startThenApply("staying", "evacuation");
        staying.setSoTimeout((int) TIMEOUT.toMillis());
        try (Socket connection = staying.accept()) {
            assertThat(connection.getInputStream().read()).isEqualTo('G');
        }
        assertReceivesNothing();
    }

    /** Changes the facts in the turn of the thread in which the connection begins to open. */
    private void startThenApply(String... keys) throws Exception {
        loop.submit(() -> {
                    facts.apply(List.of(item("configuration"), item("evacuated")));
                    new ForwardedRequest(gateway, request(), response).start();
                    facts.apply(List.of(keys).stream()
                            .map(EvacuatedConnectionTest::item)
                            .toList());
                })
                .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private void assertReceivesNothing() throws IOException {
        evacuated.setSoTimeout((int) TIMEOUT.toMillis());
        try (Socket connection = evacuated.accept()) {
            connection.setSoTimeout((int) ARRIVAL_TIME.toMillis());
            assertThatThrownBy(() -> connection.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        }
    }

    private Fact decode(FactItem item) {
        return switch (item.key()) {
            case "configuration" -> new Fact.ConfigurationPublished(catalog());
            case "evacuated" -> new Fact.UpstreamPresent(upstream("evacuated", "zone-b", evacuated));
            case "staying" -> new Fact.UpstreamPresent(upstream("staying", "zone-a", staying));
            default -> new Fact.EvacuationBegun("zone-b");
        };
    }

    private static Catalog catalog() {
        Route route = new Route(
                "r",
                "h",
                "/",
                RequestKind.NON_IDEMPOTENT,
                TIMEOUT,
                TIMEOUT,
                Duration.ZERO,
                1,
                List.of(new Backend(SERVICE, 1)),
                2,
                true);
        return new Catalog(1, RouteTable.of(List.of(route)), Map.of(), ApiKeys.notRequired(), CallerLimits.INITIAL);
    }

    private static Upstream upstream(String id, String zone, ServerSocket server) {
        WireAddress address = new WireAddress("127.0.0.1", server.getLocalPort());
        return new Upstream(id, SERVICE, address, zone, 16, false, Optional.empty(), 1, 1);
    }

    private static FactItem item(String key) {
        return FactItem.written(key, new byte[0], new StorePosition(1, 1));
    }

    private static CallerRequest request() {
        RequestMetadata metadata = new RequestMetadata(
                Optional.of("id-1"), Optional.empty(), Optional.empty(), Optional.empty(), List.of());
        return new CallerRequest(
                HttpMethod.GET,
                "/x",
                HttpVersion.HTTP_1_1,
                new DefaultHttpHeaders().set("Host", "h"),
                new byte[0],
                metadata,
                System.nanoTime());
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    }

    private static final class PlainTranslator implements RequestTranslator {
        @Override
        public RequestMetadata readRequest(HttpHeaders headers) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void setUpstreamHeaders(HttpHeaders headers, ForwardingHeaders forwarding) {}

        @Override
        public UpstreamResponse readResponse(HttpResponse head) {
            return new UpstreamResponse(
                    Optional.of("id-1"), false, true, false, OptionalDouble.empty(), Optional.empty());
        }

        @Override
        public void setRetryAfter(HttpHeaders headers, Duration delay) {}
    }

    private static final class RecordedResponse implements ResponseWriter {
        private final CompletableFuture<String> complete = new CompletableFuture<>();

        @Override
        public void writeComplete(int status, HttpHeaders headers, ByteBuf body) {
            complete.complete(status + " " + body.toString(StandardCharsets.UTF_8));
            body.release();
        }

        @Override
        public void writeHead(int status, HttpHeaders headers) {}

        @Override
        public void writePart(ByteBuf content) {
            content.release();
        }

        @Override
        public void finish() {}

        @Override
        public void abort() {}

        @Override
        public boolean isWritable() {
            return true;
        }
    }
}
