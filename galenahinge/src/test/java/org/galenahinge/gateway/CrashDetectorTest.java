package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.galenahinge.log.EventLog;
import org.galenahinge.quarantine.CrashLedger;
import org.galenahinge.quarantine.RequestTrait;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.UpstreamPool;
import org.galenahinge.wire.EventLoopTimers;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CrashDetectorTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final RequestTrait REQUEST = RequestTrait.ofRequest(1);

    private final NetworkThreads threads = NetworkThreads.start(1);
    private final EventLoop loop = threads.group().next();
    private final CrashLedger ledger = CrashLedger.create(trait -> false);
    private final CrashDetector detector = new CrashDetector(
            ledger,
            EventLoopTimers.of(loop),
            EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry()));

    @AfterEach
    void close() {
        threads.close();
    }

    @Test
    void recordsAnUpstreamThatRefusesConnections() throws Exception {
        ServerSocket server = listen();
        server.close();
        loseConnection(server);
        await().atMost(TIMEOUT).until(this::isKnown);
    }

    /** Guards against a crash that nobody sees because the upstream accepts one more connection while it ends. */
    @Test
    void recordsAnUpstreamThatAcceptsAConnectionAndEnds() throws Exception {
        try (ServerSocket server = listen()) {
            loseConnection(server);
            Socket accepted = server.accept();
            server.close();
            accepted.close();
            await().atMost(TIMEOUT).until(this::isKnown);
        }
    }

    @Test
    void recordsNothingForAnUpstreamThatRuns() throws Exception {
        try (ServerSocket server = listen()) {
            loseConnection(server);
            try (Socket accepted = server.accept()) {
                await().pollDelay(Duration.ofSeconds(1)).until(accepted::isBound);
                assertThat(isKnown()).isFalse();
            }
        }
    }

    private static ServerSocket listen() throws Exception {
        return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    private void loseConnection(ServerSocket server) {
        Upstream upstream = new Upstream(
                "upstream",
                "service",
                WireAddress.parse("127.0.0.1:" + server.getLocalPort()),
                "zone",
                1,
                false,
                Optional.empty(),
                1,
                1);
        UpstreamPool pool = UpstreamPool.create(loop, upstream, new Counter());
        loop.execute(() -> detector.connectionLost(upstream, pool, List.of(REQUEST)));
    }

    private boolean isKnown() throws Exception {
        return loop.submit(() -> ledger.size() == 1).get();
    }
}
