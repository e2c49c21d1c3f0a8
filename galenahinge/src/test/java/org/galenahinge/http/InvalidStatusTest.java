package org.galenahinge.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A response whose status is not a valid one fails, with all clients, and its connection is not used again. */
class InvalidStatusTest {
    private static final int MAXIMUM_BYTES = 1 << 10;

    /** Far less than the timeout of a request, which ends one whose response does not end. */
    private static final Duration AT_ONCE = Duration.ofSeconds(2);

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

    private final NetworkThreads threads = NetworkThreads.start(1);

    @AfterEach
    void stop() {
        threads.close();
    }

    private enum Client {
        CONNECTION,
        EXCHANGE,
        KEEP_ALIVE
    }

    /** Guards against a response that is taken for one of the server, though no server sends such a status. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK",
                "HTTP/1.1 00 OK",
                "HTTP/1.1 0 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 99 X",
                "HTTP/1.1 099 X",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 600 X",
                "HTTP/1.1 999 X",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 99999999999 OK",
                "HTTP/1.1 -1 X",
                "HTTP/1.1 -200 X",
                "HTTP/1.1 abc X",
                "HTTP/1.1 2x0 X",
                "HTTP/1.1 0x1 X",
                "HTTP/1.1 200OK",
                "HTTP/1.1",
                "HTTP/1.1 ",
                "HTTP/1.1 101 Switching Protocols",
                "HTTP/1.1 101 Switching Protocols|Connection: Upgrade|Upgrade: websocket",
                "HTTP/1.1 101 Switching Protocols|Connection: Upgrade|Upgrade: h2c"
            })
    void failsAtOnce(String start) throws Exception {
        for (Client client : Client.values()) {
            assertThat(exchange(client, start + "|Content-Length: 4||body"))
                    .as(client.name())
                    .isEqualTo("failed, closed by the client");
        }
    }

    /** Guards against a check that fails what a server may send. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK|Content-Length: 4||body",
        "HTTP/1.1 200|Content-Length: 4||body",
        "HTTP/1.0 200 OK|Content-Length: 4||body",
        "HTTP/1.1 299 X|Content-Length: 4||body",
        "HTTP/1.1 421 X|Content-Length: 4||body",
        "HTTP/1.1 599 X|Content-Length: 4||body",
        "HTTP/1.1 100 Continue||HTTP/1.1 200 OK|Content-Length: 4||body",
        "HTTP/1.1 199 X||HTTP/1.1 200 OK|Content-Length: 4||body"
    })
    void completes(String response) throws Exception {
        for (Client client : Client.values()) {
            assertThat(exchange(client, response)).as(client.name()).startsWith("complete");
        }
    }

    /** Sends a request to a scripted server, which keeps its connection open; returns how both ended. */
    private String exchange(Client client, String response) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Boolean> closed = CompletableFuture.supplyAsync(() -> serve(server, response));
            String ended =
                    send(client, server).toCompletableFuture().get(REQUEST_TIMEOUT.toSeconds() / 2, TimeUnit.SECONDS);
            if (ended.startsWith("complete")) {
                return ended;
            }
            return "failed, " + (closed.get(AT_ONCE.toSeconds() * 2, TimeUnit.SECONDS) ? "" : "not ")
                    + "closed by the client";
        }
    }

    private CompletionStage<String> send(Client client, ServerSocket server) {
        EventLoop loop = threads.group().next();
        InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        if (client == Client.CONNECTION) {
            RecordingClient recording = new RecordingClient();
            loop.execute(() -> HttpConnection.open(loop, address, REQUEST_TIMEOUT, recording));
            return recording.ended();
        }
        if (client == Client.EXCHANGE) {
            URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort());
            return describe(
                    CompleteResponse.fetch(threads, uri, Exchange.Request.get("/"), REQUEST_TIMEOUT, MAXIMUM_BYTES));
        }
        CompletableFuture<String> ended = new CompletableFuture<>();
        WireAddress keptAlive = new WireAddress("127.0.0.1", server.getLocalPort());
        loop.execute(() -> describe(KeepAliveClient.to(threads, keptAlive, MAXIMUM_BYTES)
                        .send(Exchange.Request.get("/"), REQUEST_TIMEOUT))
                .thenAccept(ended::complete));
        return ended;
    }

    private static CompletionStage<String> describe(CompletionStage<CompleteResponse> response) {
        return response.handle((complete, error) -> error == null ? "complete " + complete.status() : "failed");
    }

    /** Returns whether the client has closed the connection. */
    private static boolean serve(ServerSocket server, String response) {
        try (Socket socket = server.accept()) {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) socket.getInputStream().read());
            }
            socket.getOutputStream().write(response.replace("|", "\r\n").getBytes(StandardCharsets.US_ASCII));
            socket.setSoTimeout((int) AT_ONCE.toMillis());
            return socket.getInputStream().read() < 0;
        } catch (IOException e) {
            return e instanceof java.net.SocketException;
        }
    }
}
