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
    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final MetricRegistry metrics = new MetricRegistry();
    private final NetworkThreads threads = NetworkThreads.start(2);
    private final WireNetwork network = WireNetwork.create(threads, new WireTraffic(metrics));
    private final Echo server = new Echo();
    private final Echo client = new Echo();
    private WireAddress address;

    @BeforeEach
    void listen() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new WireAddress("127.0.0.1", free.getLocalPort());
        }
        network.listen(address, server);
    }

    @AfterEach
    void close() {
        threads.close();
    }

    @Test
    void bringsEachAnswerToItsOwnQuestion() {
        WireConnection link = connect();
        for (long number = 1; number <= 50; number++) {
            Frame.Builder question =
                    Frame.newBuilder().setProbe(Probe.newBuilder().setIncarnation(number));
            Frame answer = link.ask(question, LIMIT).toCompletableFuture().join();

            assertThat(answer.getProbeAnswer().getIncarnation()).isEqualTo(number);
        }
    }

    @Test
    void dropsAndCountsAnswersThatNobodyWaitsFor() {
        WireConnection link = connect();
        Awaitility.await().atMost(LIMIT).until(() -> !server.opened.isEmpty());
        server.opened.get(0).reply(99, Frame.newBuilder().setProbeAnswer(ProbeAnswer.getDefaultInstance()));

        Awaitility.await()
                .atMost(LIMIT)
                .until(() -> metrics.counter("wire.frames.late").getCount() == 1);
        assertThat(link.isOpen()).isTrue();
    }

    @Test
    void tellsEveryOpenExchangeThatTheLinkIsLost() {
        WireConnection link = connect();
        server.silent = true;
        var answer = link.ask(Frame.newBuilder().setProbe(Probe.getDefaultInstance()), LIMIT)
                .toCompletableFuture();
        Awaitility.await().atMost(LIMIT).until(() -> !server.opened.isEmpty());
        server.opened.get(0).close();

        assertThatThrownBy(answer::join)
                .isInstanceOf(CompletionException.class)
                .hasCauseInstanceOf(WireConnection.WireException.class);
    }

    @Test
    void closesALinkThatCarriesGarbageAndGoesOn() throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), address.port())) {
            socket.getOutputStream().write(new byte[] {0, 0, 0, 4, -1, -1, -1, -1});
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), address.port())) {
            socket.getOutputStream().write(new byte[] {127, -1, -1, -1, 0});
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        Awaitility.await()
                .atMost(LIMIT)
                .until(() -> metrics.counter("wire.frames.malformed").getCount() == 2);
        assertThat(connect().isOpen()).isTrue();
    }

    @Test
    void refusesAPortThatIsInUse() {
        assertThatThrownBy(() -> network.listen(address, server))
                .isInstanceOf(IOException.class)
                .hasMessageContaining(address.toString());
    }

    private WireConnection connect() {
        return network.connect(address, client).toCompletableFuture().join();
    }

    private static final class Echo implements WireHandler {
        private final List<WireConnection> opened = new CopyOnWriteArrayList<>();
        private volatile boolean silent;

        @Override
        public void opened(WireConnection link) {
            opened.add(link);
        }

        @Override
        public void received(WireConnection link, Frame frame) {
            if (!silent) {
                ProbeAnswer answer = ProbeAnswer.newBuilder()
                        .setIncarnation(frame.getProbe().getIncarnation())
                        .build();
                link.reply(frame, Frame.newBuilder().setProbeAnswer(answer));
            }
        }

        @Override
        public void closed(WireConnection link) {
            opened.remove(link);
        }
    }
}
