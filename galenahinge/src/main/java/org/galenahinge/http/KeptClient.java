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
import org.galenahinge.http.WholeAnswer.FailedException;
import org.galenahinge.http.WholeAnswer.Whole;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/**
 * Asks one server one request after the other, over a connection that is kept as long as all goes well. Belongs to one
 * network thread. A request that fails is not sent again.
 */
public final class KeptClient {
    private static final int MOST_WAITING = 64;
    private static final double SHARE_OF_IDLE = 0.8;
    private static final Duration CONNECT_WITHIN = Duration.ofMillis(500);

    private final EventLoop loop;
    private final WireAddress server;
    private final int maximumBytes;
    private final Deque<Asked> waiting = new ArrayDeque<>();
    private Optional<HttpConnection> connection = Optional.empty();
    private boolean busy;

    private KeptClient(EventLoop loop, WireAddress server, int maximumBytes) {
        this.loop = loop;
        this.server = server;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Creates a client without a connection yet.
     *
     * @param threads the one thread that it belongs to
     * @param server where the server listens
     * @param maximumBytes the largest body taken
     * @return the client
     */
    public static KeptClient to(NetworkThreads threads, WireAddress server, int maximumBytes) {
        return new KeptClient(threads.group().next(), Objects.requireNonNull(server, "server"), maximumBytes);
    }

    /**
     * Sends a request when those before it have ended.
     *
     * @param request the request
     * @param timeout how long its answer may take once it is sent
     * @return the whole answer, or a {@link FailedException}
     */
    public CompletionStage<Whole> ask(Exchange.Request request, Duration timeout) {
        Asked asked = new Asked(request, timeout, new CompletableFuture<>());
        if (waiting.size() >= MOST_WAITING) {
            asked.whole().completeExceptionally(new FailedException("too many requests wait"));
            return asked.whole();
        }
        waiting.add(asked);
        next();
        return asked.whole();
    }

    private record Asked(Exchange.Request request, Duration timeout, CompletableFuture<Whole> whole) {}

    private void next() {
        if (busy || waiting.isEmpty()) {
            return;
        }
        busy = true;
        Asked asked = waiting.poll();
        if (connection.isPresent() && connection.get().isUsable(SHARE_OF_IDLE)) {
            send(connection.get(), asked);
            return;
        }
        connection.ifPresent(HttpConnection::close);
        connection = Optional.empty();
        HttpConnection.open(loop, server.toSocketAddress(), CONNECT_WITHIN, new HttpConnection.Opening() {
            @Override
            public void opened(HttpConnection open) {
                connection = Optional.of(open);
                send(open, asked);
            }

            @Override
            public void failed(String detail) {
                fail(asked, detail);
            }
        });
    }

    private void send(HttpConnection open, Asked asked) {
        Exchange.Request request = asked.request();
        DefaultHttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.path());
        request.headers().forEach((name, value) -> head.headers().set(name, value));
        HttpConnection.complete(head, server.toString(), (int) request.length());
        ByteBuf body = Unpooled.wrappedBuffer(request.body().toArray(new byte[0][]));
        var timer = loop.schedule(
                () -> {
                    if (!asked.whole().isDone()) {
                        open.close();
                        connection = Optional.empty();
                        fail(asked, "no whole answer in time");
                    }
                },
                asked.timeout().toMillis(),
                TimeUnit.MILLISECONDS);
        open.send(head, body, new Collector(asked, () -> timer.cancel(false)));
    }

    private void fail(Asked asked, String detail) {
        busy = false;
        asked.whole().completeExceptionally(new FailedException(detail));
        next();
    }

    private final class Collector implements HttpConnection.Listener {
        private final Asked asked;
        private final Runnable ended;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;

        Collector(Asked asked, Runnable ended) {
            this.asked = asked;
            this.ended = ended;
        }

        @Override
        public void head(HttpResponse response) {
            status = response.status().code();
        }

        @Override
        public void part(ByteBuf content) {
            byte[] bytes = new byte[content.readableBytes()];
            content.getBytes(content.readerIndex(), bytes);
            body.writeBytes(bytes);
            if (body.size() > maximumBytes) {
                connection.ifPresent(HttpConnection::close);
                broken("the answer is larger than " + maximumBytes + " bytes");
            }
        }

        @Override
        public void whole() {
            ended.run();
            busy = false;
            asked.whole().complete(new Whole(status, body.toByteArray()));
            next();
        }

        @Override
        public void broken(String detail) {
            ended.run();
            connection = Optional.empty();
            fail(asked, detail);
        }
    }
}
