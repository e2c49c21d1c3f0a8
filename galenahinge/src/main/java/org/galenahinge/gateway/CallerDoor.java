package org.galenahinge.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.galenahinge.catalog.CallerLimits;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/** Listens for callers. Belongs to the gateway's thread. */
public final class CallerDoor {
    private static final int BACKLOG = 1_024;
    private static final int MAXIMUM_LINE_BYTES = 8 << 10;
    private static final int PART_BYTES = 64 << 10;
    private static final int LOW_WATER = 32 << 10;
    private static final int HIGH_WATER = 128 << 10;

    private final Gateway gateway;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel listening;

    private CallerDoor(Gateway gateway) {
        this.gateway = gateway;
    }

    /**
     * Starts to listen.
     *
     * @param gateway forwards the requests
     * @param threads the one thread that serves the connections
     * @param address where to listen
     * @return the door
     * @throws IOException when the port is in use
     */
    public static CallerDoor open(Gateway gateway, NetworkThreads threads, WireAddress address) throws IOException {
        CallerDoor door = new CallerDoor(Objects.requireNonNull(gateway, "gateway"));
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(threads.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(LOW_WATER, HIGH_WATER))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        door.accept(channel);
                    }
                });
        door.listening = NetworkThreads.awaitBound(bootstrap.bind(address.host(), address.port()), address);
        return door;
    }

    /** Takes no new connections and closes idle ones; the answers under way end. */
    public void closeIdle() {
        listening.close();
        List.copyOf(connections).forEach(CallerConnection::drain);
    }

    /**
     * Returns how many requests are under way.
     *
     * @return the number of connections that are not idle
     */
    public int busy() {
        return (int)
                connections.stream().filter(connection -> !connection.isIdle()).count();
    }

    /**
     * Returns how many connections are open.
     *
     * @return the number
     */
    public int size() {
        return connections.size();
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    private void accept(SocketChannel channel) {
        CallerLimits limits = limits();
        CallerConnection connection = new CallerConnection(gateway, this, this::limits);
        channel.pipeline()
                .addLast(new ArrivalWatch(connection))
                .addLast(new HttpServerCodec(
                        Math.min(MAXIMUM_LINE_BYTES, limits.maximumHeaderBytes()),
                        limits.maximumHeaderBytes(),
                        PART_BYTES))
                .addLast(connection);
    }

    private CallerLimits limits() {
        return gateway.catalog().map(Catalog::limits).orElse(CallerLimits.INITIAL);
    }

    private static final class ArrivalWatch extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        ArrivalWatch(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            connection.bytesArrived();
            super.channelRead(context, message);
        }
    }
}
