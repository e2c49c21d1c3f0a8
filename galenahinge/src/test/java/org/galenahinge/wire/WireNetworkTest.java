package org.galenahinge.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import org.awaitility.Awaitility;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Probe;
import org.galenahinge.wire.generated.ProbeAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WireNetworkTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final MetricRegistry metrics = new MetricRegistry();
    private final NetworkThreads threads = NetworkThreads.start(2);
    private final WireNetwork network = WireNetwork.create(threads, new WireTraffic(metrics));
    private final EchoHandler server = new EchoHandler();
    private final EchoHandler client = new EchoHandler();
    private WireAddress address;

    @BeforeEach
    void listen() throws IOException {
        try (ServerSocket unusedPort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new WireAddress("127.0.0.1", unusedPort.getLocalPort());
        }
        network.listen(address, server);
    }

    @AfterEach
    void close() {
        threads.close();
    }

    @Test
    void matchesResponsesToRequests() {
        WireConnection connection = connect();
        for (long number = 1; number <= 50; number++) {
            Frame.Builder request =
                    Frame.newBuilder().setProbe(Probe.newBuilder().setIncarnation(number));
            Frame response =
                    connection.ask(request, TIMEOUT).toCompletableFuture().join();

            assertThat(response.getProbeAnswer().getIncarnation()).isEqualTo(number);
        }
    }

    @Test
    void dropsAndCountsResponsesWithoutOpenExchange() {
        WireConnection connection = connect();
        Awaitility.await().atMost(TIMEOUT).until(() -> !server.opened.isEmpty());
        server.opened.get(0).reply(99, Frame.newBuilder().setProbeAnswer(ProbeAnswer.getDefaultInstance()));

        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> metrics.counter("wire.frames.late").getCount() == 1);
        assertThat(connection.isOpen()).isTrue();
    }

    @Test
    void failsOpenExchangesWhenTheConnectionIsLost() {
        WireConnection connection = connect();
        server.unresponsive = true;
        var response = connection
                .ask(Frame.newBuilder().setProbe(Probe.getDefaultInstance()), TIMEOUT)
                .toCompletableFuture();
        Awaitility.await().atMost(TIMEOUT).until(() -> !server.opened.isEmpty());
        server.opened.get(0).close();

        assertThatThrownBy(response::join)
                .isInstanceOf(CompletionException.class)
                .hasCauseInstanceOf(WireConnection.WireException.class);
    }

    @Test
    void closesConnectionsWithMalformedFramesAndKeepsAccepting() throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), address.port())) {
            socket.getOutputStream().write(new byte[] {0, 0, 0, 4, -1, -1, -1, -1});
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), address.port())) {
            socket.getOutputStream().write(new byte[] {127, -1, -1, -1, 0});
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> metrics.counter("wire.frames.malformed").getCount() == 2);
        assertThat(connect().isOpen()).isTrue();
    }

    @Test
    void listenFailsOnAPortInUse() {
        assertThatThrownBy(() -> network.listen(address, server))
                .isInstanceOf(IOException.class)
                .hasMessageContaining(address.toString());
    }

    private WireConnection connect() {
        return network.connect(address, client).toCompletableFuture().join();
    }

    private static final class EchoHandler implements WireHandler {
        private final List<WireConnection> opened = new CopyOnWriteArrayList<>();
        private volatile boolean unresponsive;

        @Override
        public void opened(WireConnection connection) {
            opened.add(connection);
        }

        @Override
        public void received(WireConnection connection, Frame frame) {
            if (!unresponsive) {
                ProbeAnswer response = ProbeAnswer.newBuilder()
                        .setIncarnation(frame.getProbe().getIncarnation())
                        .build();
                connection.reply(frame, Frame.newBuilder().setProbeAnswer(response));
            }
        }

        @Override
        public void closed(WireConnection connection) {
            opened.remove(connection);
        }
    }
}
