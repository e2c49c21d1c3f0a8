package org.galenahinge.wire;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;

/** Sends and receives small messages as UDP datagrams, and counts their bytes as control traffic. */
public final class DatagramNetwork {
    /** Size of the UDP and IPv4 headers of a datagram, in bytes; counted as control traffic. */
    public static final int HEADER_BYTES = 28;

    private static final int MAXIMUM_CACHED_ADDRESSES = 4_096;
    private static final int MAXIMUM_DATAGRAMS_PER_FLUSH = 64;

    private final Channel channel;
    private final Counter controlBytes;
    private final Map<WireAddress, InetSocketAddress> socketAddresses = new ConcurrentHashMap<>();

    private DatagramNetwork(Channel channel, Counter controlBytes) {
        this.channel = channel;
        this.controlBytes = controlBytes;
    }

    /**
     * Listens for datagrams.
     *
     * @param threads the threads that serve the socket
     * @param address where to listen
     * @param metrics where the counters are registered
     * @param reader decodes a datagram; empty when it is malformed
     * @param handler handles each message; called on a network thread
     * @param <T> the type of the messages
     * @return the network
     * @throws IOException when the port cannot be bound, for example because it is in use
     */
    public static <T> DatagramNetwork listen(
            NetworkThreads threads,
            WireAddress address,
            MetricRegistry metrics,
            Function<ByteBuffer, Optional<T>> reader,
            Consumer<T> handler)
            throws IOException {
        Objects.requireNonNull(reader, "reader");
        Objects.requireNonNull(handler, "handler");
        Counter controlBytes = metrics.counter("wire.control.bytes");
        Counter malformedDatagrams = metrics.counter("wire.frames.malformed");
        Bootstrap bootstrap = new Bootstrap()
                .group(threads.group())
                .channel(NioDatagramChannel.class)
                .handler(new ChannelInitializer<NioDatagramChannel>() {
                    @Override
                    protected void initChannel(NioDatagramChannel channel) {
                        channel.pipeline()
                                .addLast(new FlushConsolidationHandler(MAXIMUM_DATAGRAMS_PER_FLUSH, true))
                                .addLast(new Receiver<>(reader, handler, controlBytes, malformedDatagrams));
                    }
                });
        Channel bound = NetworkThreads.awaitBound(bootstrap.bind(address.host(), address.port()), address);
        return new DatagramNetwork(bound, controlBytes);
    }

    /**
     * Sends a datagram, which may be lost. Datagrams that are sent one after the other leave together.
     *
     * @param to the destination
     * @param bytes the content
     */
    public void send(WireAddress to, byte[] bytes) {
        controlBytes.inc(bytes.length + (long) HEADER_BYTES);
        channel.writeAndFlush(
                new DatagramPacket(Unpooled.wrappedBuffer(bytes), socketAddress(to)), channel.voidPromise());
    }

    private InetSocketAddress socketAddress(WireAddress to) {
        if (socketAddresses.size() >= MAXIMUM_CACHED_ADDRESSES) {
            socketAddresses.clear();
        }
        return socketAddresses.computeIfAbsent(to, WireAddress::toSocketAddress);
    }

    private static final class Receiver<T> extends SimpleChannelInboundHandler<DatagramPacket> {
        private final Function<ByteBuffer, Optional<T>> reader;
        private final Consumer<T> handler;
        private final Counter controlBytes;
        private final Counter malformedDatagrams;

        Receiver(
                Function<ByteBuffer, Optional<T>> reader,
                Consumer<T> handler,
                Counter controlBytes,
                Counter malformedDatagrams) {
            super(DatagramPacket.class);
            this.reader = reader;
            this.handler = handler;
            this.controlBytes = controlBytes;
            this.malformedDatagrams = malformedDatagrams;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            controlBytes.inc(packet.content().readableBytes() + (long) HEADER_BYTES);
            reader.apply(packet.content().nioBuffer()).ifPresentOrElse(handler, malformedDatagrams::inc);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // Datagrams may be lost, so one that cannot be sent or read is dropped.
        }
    }
}
