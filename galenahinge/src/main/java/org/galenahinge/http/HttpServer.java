package org.galenahinge.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/** Serves small documents, each over a connection of its own. */
public final class HttpServer {
    private static final int MAXIMUM_REQUEST_BYTES = 16 << 10;

    private HttpServer() {}

    /**
     * Starts a server.
     *
     * @param threads the threads that serve it; it ends with them
     * @param address where to listen
     * @param documents gives the document at a path, or empty when there is none
     * @throws IOException when the port is in use
     */
    public static void start(
            NetworkThreads threads, WireAddress address, Function<String, Optional<HttpDocument>> documents)
            throws IOException {
        Objects.requireNonNull(documents, "documents");
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(threads.group())
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAXIMUM_REQUEST_BYTES))
                                .addLast(new Answerer(documents));
                    }
                });
        NetworkThreads.awaitBound(bootstrap.bind(address.host(), address.port()), address);
    }

    private static final class Answerer extends SimpleChannelInboundHandler<FullHttpRequest> {
        private static final HttpDocument NOTHING = new HttpDocument(404, "text/plain", "nothing here\n");

        private final Function<String, Optional<HttpDocument>> documents;

        Answerer(Function<String, Optional<HttpDocument>> documents) {
            super(FullHttpRequest.class);
            this.documents = documents;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            HttpDocument document = documents.apply(request.uri()).orElse(NOTHING);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(document.status()),
                    Unpooled.copiedBuffer(document.body(), StandardCharsets.UTF_8));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, document.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
