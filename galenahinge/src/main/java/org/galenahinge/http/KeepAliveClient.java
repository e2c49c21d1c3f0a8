package org.galenahinge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.galenahinge.http.CompleteResponse.FailedException;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/**
 * HTTP client for one server that sends one request at a time over a keep-alive connection and opens a new connection
 * after a failure. Failed requests are not retried. Must be used on one network thread.
 */
public final class KeepAliveClient {
    private static final int MAXIMUM_QUEUED = 64;
    private static final double KEEP_ALIVE_SHARE = 0.8;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final EventLoop loop;
    private final WireAddress server;
    private final int maximumBytes;
    private final Deque<QueuedRequest> queue = new ArrayDeque<>();
    private Optional<HttpConnection> connection = Optional.empty();
    private boolean busy;

    private KeepAliveClient(EventLoop loop, WireAddress server, int maximumBytes) {
        this.loop = loop;
        this.server = server;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Creates a client. It connects with the first request.
     *
     * @param threads the network thread that uses the client
     * @param server the address of the server
     * @param maximumBytes the maximum size of a response body, in bytes
     * @return the client
     */
    public static KeepAliveClient to(NetworkThreads threads, WireAddress server, int maximumBytes) {
        return new KeepAliveClient(threads.group().next(), Objects.requireNonNull(server, "server"), maximumBytes);
    }

    /**
     * Sends a request after those queued before it. At most 64 requests are queued; further ones fail immediately.
     *
     * @param request the request
     * @param timeout the maximum time from sending the request until the response is complete
     * @return the response, or a {@link FailedException}
     */
    public CompletionStage<CompleteResponse> send(Exchange.Request request, Duration timeout) {
        return send(request, timeout, () -> true);
    }

    /**
     * Sends a request after those queued before it, unless it has become invalid by then: while it waited for those and
     * for the connection.
     *
     * @param request the request
     * @param timeout the maximum time from sending the request until the response is complete
     * @param stillValid asked immediately before the request is written
     * @return the response, or a {@link FailedException}
     */
    public CompletionStage<CompleteResponse> send(
            Exchange.Request request, Duration timeout, BooleanSupplier stillValid) {
        QueuedRequest queued = new QueuedRequest(request, timeout, stillValid, new CompletableFuture<>());
        if (queue.size() >= MAXIMUM_QUEUED) {
            queued.result().completeExceptionally(new FailedException("too many requests are queued"));
            return queued.result();
        }
        queue.add(queued);
        sendNext();
        return queued.result();
    }

    private record QueuedRequest(
            Exchange.Request request,
            Duration timeout,
            BooleanSupplier stillValid,
            CompletableFuture<CompleteResponse> result) {}

    private void sendNext() {
        if (busy || queue.isEmpty()) {
            return;
        }
        busy = true;
        QueuedRequest queued = queue.poll();
        if (connection.isPresent() && connection.get().isUsable(KEEP_ALIVE_SHARE)) {
            sendOn(connection.get(), queued);
            return;
        }
        connection.ifPresent(HttpConnection::close);
        connection = Optional.empty();
        HttpConnection.open(loop, server.toSocketAddress(), CONNECT_TIMEOUT, new HttpConnection.ConnectListener() {
            @Override
            public void onConnected(HttpConnection open) {
                connection = Optional.of(open);
                sendOn(open, queued);
            }

            @Override
            public void onConnectFailed(String detail) {
                fail(queued, detail);
            }
        });
    }

    private void sendOn(HttpConnection open, QueuedRequest queued) {
        if (!queued.stillValid().getAsBoolean()) {
            fail(queued, "the request became invalid before it was sent");
            return;
        }
        Exchange.Request request = queued.request();
        DefaultHttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.path());
        request.headers().forEach((name, value) -> head.headers().set(name, value));
        HttpConnection.addHostAndLength(head, server.toString(), (int) request.length());
        ByteBuf body = Unpooled.wrappedBuffer(request.body().toArray(new byte[0][]));
        var timer = loop.schedule(
                () -> {
                    if (!queued.result().isDone()) {
                        open.close();
                        connection = Optional.empty();
                        fail(queued, "no complete response in time");
                    }
                },
                queued.timeout().toMillis(),
                TimeUnit.MILLISECONDS);
        open.send(head, body, new Collector(queued, () -> timer.cancel(false)));
    }

    private void fail(QueuedRequest queued, String detail) {
        busy = false;
        queued.result().completeExceptionally(new FailedException(detail));
        sendNext();
    }

    private final class Collector implements HttpConnection.Listener {
        private final QueuedRequest queued;
        private final Runnable cancelTimer;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Exchange.Headers headers = name -> Optional.empty();

        Collector(QueuedRequest queued, Runnable cancelTimer) {
            this.queued = queued;
            this.cancelTimer = cancelTimer;
        }

        @Override
        public void onHead(HttpResponse response) {
            status = response.status().code();
            headers = name -> Optional.ofNullable(response.headers().get(name));
        }

        @Override
        public void onBodyPart(ByteBuf content) {
            byte[] bytes = new byte[content.readableBytes()];
            content.getBytes(content.readerIndex(), bytes);
            body.writeBytes(bytes);
            if (body.size() > maximumBytes) {
                connection.ifPresent(HttpConnection::close);
                onFailure("the response is larger than " + maximumBytes + " bytes");
            }
        }

        @Override
        public void onComplete() {
            cancelTimer.run();
            busy = false;
            queued.result().complete(new CompleteResponse(status, headers, body.toByteArray()));
            sendNext();
        }

        @Override
        public void onFailure(String detail) {
            cancelTimer.run();
            connection = Optional.empty();
            fail(queued, detail);
        }
    }
}
