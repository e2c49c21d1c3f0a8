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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

/** Sends and receives small messages as datagrams. */
public final class DatagramNetwork {
    /** What UDP and IP add to each datagram, in bytes; it is counted with the control traffic. */
    public static final int HEADER_BYTES = 28;

    private final Channel channel;
    private final Counter control;

    private DatagramNetwork(Channel channel, Counter control) {
        this.channel = channel;
        this.control = control;
    }

    /**
     * Listens for datagrams.
     *
     * @param threads the threads that serve it
     * @param address where to listen
     * @param metrics counts the bytes
     * @param reader reads a datagram, or finds that it cannot be read
     * @param handler handles each message; called on a network thread
     * @param <T> the type of the messages
     * @return the network
     * @throws IOException when the port is in use
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
        Counter control = metrics.counter("wire.control.bytes");
        Counter malformed = metrics.counter("wire.frames.malformed");
        Bootstrap bootstrap = new Bootstrap()
                .group(threads.group())
                .channel(NioDatagramChannel.class)
                .handler(new ChannelInitializer<NioDatagramChannel>() {
                    @Override
                    protected void initChannel(NioDatagramChannel opened) {
                        opened.pipeline().addLast(new Receiver<>(reader, handler, control, malformed));
                    }
                });
        Channel bound = NetworkThreads.awaitBound(bootstrap.bind(address.host(), address.port()), address);
        return new DatagramNetwork(bound, control);
    }

    /**
     * Sends a datagram, which may be lost.
     *
     * @param to where to
     * @param bytes its bytes
     */
    public void send(WireAddress to, byte[] bytes) {
        control.inc(bytes.length + (long) HEADER_BYTES);
        channel.writeAndFlush(
                new DatagramPacket(Unpooled.wrappedBuffer(bytes), new InetSocketAddress(to.host(), to.port())),
                channel.voidPromise());
    }

    private static final class Receiver<T> extends SimpleChannelInboundHandler<DatagramPacket> {
        private final Function<ByteBuffer, Optional<T>> reader;
        private final Consumer<T> handler;
        private final Counter control;
        private final Counter malformed;

        Receiver(Function<ByteBuffer, Optional<T>> reader, Consumer<T> handler, Counter control, Counter malformed) {
            super(DatagramPacket.class);
            this.reader = reader;
            this.handler = handler;
            this.control = control;
            this.malformed = malformed;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            control.inc(packet.content().readableBytes() + (long) HEADER_BYTES);
            reader.apply(packet.content().nioBuffer()).ifPresentOrElse(handler, malformed::inc);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A datagram that could not be sent or read is lost like any other.
        }
    }
}
