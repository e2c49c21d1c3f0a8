package org.galenahinge.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.galenahinge.wire.NetworkThreads;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** A response is complete only when its end was seen, with both clients: the pooled one and the one for one request. */
class IncompleteResponseTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** More than the sockets of both sides hold. */
    private static final int LONG_BODY_BYTES = 8 << 20;

    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

    /** Time in which the client reads what was sent, which a reset would otherwise discard. */
    private static final long MILLIS_BEFORE_END = 100;

    private final NetworkThreads threads = NetworkThreads.start(1);

    @AfterEach
    void stop() {
        threads.close();
    }

    private enum Client {
        CONNECTION,
        EXCHANGE
    }

    /** Guards against a reset that only the unfinished request notices: the response without a length looked complete. */
    @ParameterizedTest
    @EnumSource(Client.class)
    void failsWhenAResetInterruptsTheRequest(Client client) throws Exception {
        assertThat(exchange(client, LONG_BODY_BYTES, socket -> respond(socket, "HTTP/1.1 200 OK||pa")))
                .startsWith("failed");
    }

    /** Guards against an early response without a length that is complete only after the request has been read. */
    @ParameterizedTest
    @EnumSource(Client.class)
    void completesWhenTheRequestIsReadAfterAnEarlyResponse(Client client) throws Exception {
        String ended = exchange(client, LONG_BODY_BYTES, socket -> {
            respond(socket, "HTTP/1.1 200 OK||early");
            readRest(socket, LONG_BODY_BYTES);
        });
        assertThat(ended).isEqualTo("complete early");
    }

    /** Guards against the orderly end of a response while the request is written, which a crash can look like. */
    @ParameterizedTest
    @EnumSource(Client.class)
    void failsWhenTheServerStopsReadingAfterTheEndOfItsResponse(Client client) throws Exception {
        String ended = exchange(client, LONG_BODY_BYTES, socket -> {
            respond(socket, "HTTP/1.1 200 OK||pa");
            socket.shutdownOutput();
            Thread.sleep(MILLIS_BEFORE_END);
        });
        assertThat(ended).startsWith("failed");
    }

    /** Guards against a response whose server stopped within the head or the body, and closed the connection. */
    @ParameterizedTest
    @CsvSource({
        "nothing, ''",
        "within the protocol version, HTTP/1",
        "within the status, HTTP/1.1 2",
        "after the status, HTTP/1.1 200",
        "within the status line, HTTP/1.1 200 O",
        "before the end of the status line, HTTP/1.1 200 OK",
        "after the status line, HTTP/1.1 200 OK|",
        "within a name, HTTP/1.1 200 OK|Conte",
        "before a value, HTTP/1.1 200 OK|Content-Length:",
        "within a value, HTTP/1.1 200 OK|Content-Length: 1",
        "after a header, HTTP/1.1 200 OK|Content-Length: 0|",
        "after two headers, HTTP/1.1 200 OK|A: b|Content-Length: 4|",
        "within the framing, HTTP/1.1 200 OK|Transfer-Encoding: chu",
        "after an informational response, HTTP/1.1 100 Continue||",
        "within a head after an informational response, HTTP/1.1 100 Continue||HTTP/1.1 200 OK|Content-Length: 0|",
        "before a body, HTTP/1.1 200 OK|Content-Length: 4||",
        "within a body, HTTP/1.1 200 OK|Content-Length: 4||pa",
        "before the first chunk, HTTP/1.1 200 OK|Transfer-Encoding: chunked||",
        "within a chunk size, HTTP/1.1 200 OK|Transfer-Encoding: chunked||1",
        "within a chunk, HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|pa",
        "after a chunk, HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|part|",
        "within the last chunk, HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|part|0",
        "before the end of the trailers, HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|part|0|",
        "within a trailer, HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|part|0|A: b"
    })
    void failsWhenTheServerStopsWithin(String name, String sent) throws Exception {
        for (Client client : Client.values()) {
            assertThat(exchange(client, 0, socket -> respond(socket, sent)))
                    .as("%s, %s", client, name)
                    .startsWith("failed");
        }
    }

    /** Guards against a check for cut responses that fails complete ones. */
    @ParameterizedTest
    @CsvSource({
        "length, HTTP/1.1 200 OK|Content-Length: 4||body, complete body",
        "empty, HTTP/1.1 200 OK|Content-Length: 0||, complete ''",
        "chunks, HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|body|0||, complete body",
        "no length, HTTP/1.1 200 OK||body, complete body",
        "no length and no body, HTTP/1.1 200 OK||, complete ''",
        "no content, HTTP/1.1 204 No Content||, complete ''",
        "after an informational response, HTTP/1.1 103 Early Hints|A: b||HTTP/1.1 200 OK|Content-Length: 4||body, complete body"
    })
    void completes(String name, String sent, String expected) throws Exception {
        for (Client client : Client.values()) {
            assertThat(exchange(client, 10, socket -> respond(socket, sent)))
                    .as("%s, %s", client, name)
                    .isEqualTo(expected.replace("''", ""));
        }
    }

    @FunctionalInterface
    private interface Script {
        void run(Socket socket) throws IOException, InterruptedException;
    }

    /** Sends a request to a scripted server, and returns how the response ended and its body. */
    private String exchange(Client client, int bodyBytes, Script script) throws Exception {
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            CompletableFuture.runAsync(() -> serve(server, bodyBytes, script));
            CompletableFuture<String> ended = new CompletableFuture<>();
            if (client == Client.CONNECTION) {
                EventLoop loop = threads.group().next();
                InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
                loop.execute(() -> HttpConnection.open(loop, address, TIMEOUT, new PooledClient(bodyBytes, ended)));
            } else {
                Exchange.Request request = new Exchange.Request(
                        "POST", "/", Map.of(), List.of(new byte[bodyBytes / 2], new byte[bodyBytes - bodyBytes / 2]));
                URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort());
                Exchange.send(threads, uri, request, new ExchangeClient(ended));
            }
            return ended.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        }
    }

    private static void serve(ServerSocket server, int bodyBytes, Script script) {
        try (Socket socket = server.accept()) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1);
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) in.read());
            }
            if (bodyBytes < LONG_BODY_BYTES) {
                in.readNBytes(bodyBytes);
            }
            script.run(socket);
        } catch (IOException e) {
            // The client has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void respond(Socket socket, String text) throws IOException, InterruptedException {
        socket.getOutputStream().write(text.replace("|", "\r\n").getBytes(StandardCharsets.US_ASCII));
        Thread.sleep(MILLIS_BEFORE_END);
    }

    private static void readRest(Socket socket, int bytes) throws IOException {
        socket.getInputStream().readNBytes(bytes);
    }

    private record PooledClient(int bodyBytes, CompletableFuture<String> ended, StringBuilder body)
            implements HttpConnection.ConnectListener, HttpConnection.Listener {
        PooledClient(int bodyBytes, CompletableFuture<String> ended) {
            this(bodyBytes, ended, new StringBuilder());
        }

        @Override
        public void onConnected(HttpConnection connection) {
            DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
            HttpConnection.addHostAndLength(head, "server", bodyBytes);
            connection.send(head, Unpooled.wrappedBuffer(new byte[bodyBytes]), this);
        }

        @Override
        public void onConnectFailed(String detail) {
            ended.complete("not connected: " + detail);
        }

        @Override
        public void onHead(HttpResponse response) {
            // Only the body and the end are recorded.
        }

        @Override
        public void onBodyPart(ByteBuf content) {
            body.append(content.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void onComplete() {
            ended.complete("complete " + body);
        }

        @Override
        public void onFailure(String detail) {
            ended.complete("failed: " + detail);
        }
    }

    private record ExchangeClient(CompletableFuture<String> ended, StringBuilder body) implements Exchange.Listener {
        ExchangeClient(CompletableFuture<String> ended) {
            this(ended, new StringBuilder());
        }

        @Override
        public void onHead(int status, Exchange.Headers headers) {
            // Only the body and the end are recorded.
        }

        @Override
        public void onBodyPart(byte[] content) {
            body.append(new String(content, StandardCharsets.US_ASCII));
        }

        @Override
        public void onComplete() {
            ended.complete("complete " + body);
        }

        @Override
        public void onNotSent(String detail) {
            ended.complete("not sent: " + detail);
        }

        @Override
        public void onFailure(String detail) {
            ended.complete("failed: " + detail);
        }
    }
}
