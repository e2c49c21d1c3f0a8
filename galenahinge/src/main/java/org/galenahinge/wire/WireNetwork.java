package org.galenahinge.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenahinge.wire.generated.Frame;
import org.jboss.logging.Logger;

/**
 * Opens the TCP connections between the nodes of the system, and accepts those of peers.
 *
 * <p>A listening port is bound exclusively, so a second process with the same settings fails at start.
 */
public final class WireNetwork {
    /** Maximum size of a frame, in bytes. A larger one closes the connection that it was received on. */
    public static final int MAXIMUM_FRAME_BYTES = 8 << 20;
    /** Maximum number of bytes that may wait to be sent on one connection. */
    public static final int WRITE_BUFFER_BYTES = 16 << 20;

    private static final Logger LOG = Logger.getLogger(WireNetwork.class);
    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_500;
    private static final int ACCEPT_BACKLOG = 1_024;

    private final EventLoopGroup group;
    private final WireTraffic traffic;

    private WireNetwork(EventLoopGroup group, WireTraffic traffic) {
        this.group = group;
        this.traffic = traffic;
    }

    /**
     * Creates a network.
     *
     * @param threads the threads that serve all connections; the caller closes them
     * @param traffic counts the bytes
     * @return the network, without connections
     */
    public static WireNetwork create(NetworkThreads threads, WireTraffic traffic) {
        return new WireNetwork(threads.group(), Objects.requireNonNull(traffic, "traffic"));
    }

    /**
     * Accepts connections at an address.
     *
     * @param address where to listen
     * @param handler handles the connections and their frames
     * @throws IOException when the port is in use
     */
    public void listen(WireAddress address, WireHandler handler) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReadLimit.perTurn())
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .childHandler(new ConnectionInitializer(handler, null));
        NetworkThreads.awaitBound(bootstrap.bind(address.host(), address.port()), address);
    }

    /**
     * Opens a connection to a peer.
     *
     * @param address where the peer listens
     * @param handler handles the connection and its frames
     * @return the connection, or the error when it could not be opened
     */
    public CompletionStage<WireConnection> connect(WireAddress address, WireHandler handler) {
        CompletableFuture<WireConnection> connected = new CompletableFuture<>();
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, ReadLimit.perTurn())
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .handler(new ConnectionInitializer(handler, connected));
        bootstrap.connect(address.host(), address.port()).addListener(done -> {
            if (!done.isSuccess()) {
                connected.completeExceptionally(done.cause());
            }
        });
        return connected;
    }

    private static WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(WRITE_BUFFER_BYTES / 2, WRITE_BUFFER_BYTES);
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        private final WireHandler handler;
        private final CompletableFuture<WireConnection> connected;

        ConnectionInitializer(WireHandler handler, CompletableFuture<WireConnection> connected) {
            this.handler = handler;
            this.connected = connected;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new LengthFieldBasedFrameDecoder(MAXIMUM_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                    .addLast(new FrameDecoder())
                    .addLast(new FrameEncoder())
                    .addLast(new ConnectionHandler(new WireConnection(channel, traffic), handler, connected, traffic));
        }
    }

    private static final class FrameDecoder extends MessageToMessageDecoder<ByteBuf> {
        FrameDecoder() {
            super(ByteBuf.class);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out)
                throws InvalidProtocolBufferException {
            out.add(Frame.parseFrom(bytes.nioBuffer()));
        }
    }

    private static final class FrameEncoder extends MessageToByteEncoder<Frame> {
        FrameEncoder() {
            super(Frame.class);
        }

        @Override
        protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) throws IOException {
            int size = frame.getSerializedSize();
            out.ensureWritable(LENGTH_BYTES + size);
            out.writeInt(size);
            frame.writeTo(new ByteBufOutputStream(out));
        }
    }

    private static final class ConnectionHandler extends SimpleChannelInboundHandler<Frame> {
        private final WireConnection connection;
        private final WireHandler handler;
        private final CompletableFuture<WireConnection> connected;
        private final WireTraffic traffic;

        ConnectionHandler(
                WireConnection connection,
                WireHandler handler,
                CompletableFuture<WireConnection> connected,
                WireTraffic traffic) {
            super(Frame.class);
            this.connection = connection;
            this.handler = handler;
            this.connected = connected;
            this.traffic = traffic;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            handler.opened(connection);
            if (connected != null) {
                connected.complete(connection);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            traffic.countReceived(frame);
            if (!frame.getReply()) {
                handler.received(connection, frame);
            } else if (!connection.deliverResponse(frame)) {
                traffic.countLateResponse();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connection.failOpenExchanges();
            handler.closed(connection);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException) || cause instanceof InvalidProtocolBufferException) {
                traffic.countMalformedFrame();
                LOG.warnf("closing %s: %s", connection, cause.getMessage());
            }
            Channel channel = context.channel();
            channel.close();
        }
    }
}
