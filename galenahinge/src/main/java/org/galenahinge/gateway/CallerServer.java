package org.galenahinge.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.galenahinge.catalog.CallerLimits;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.ReadLimit;
import org.galenahinge.wire.WireAddress;

/** Listens for connections of callers. Used by the gateway's thread only. */
public final class CallerServer {
    private static final int BACKLOG = 1_024;
    private static final int LOW_WATER_MARK_BYTES = 32 << 10;
    private static final int HIGH_WATER_MARK_BYTES = 128 << 10;

    private final Gateway gateway;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Channel serverChannel;

    private CallerServer(Gateway gateway) {
        this.gateway = gateway;
    }

    /**
     * Starts listening.
     *
     * @param gateway forwards the requests
     * @param threads the one thread that serves the connections
     * @param address where to listen
     * @return the server
     * @throws IOException if the port is in use
     */
    public static CallerServer listen(Gateway gateway, NetworkThreads threads, WireAddress address) throws IOException {
        CallerServer server = new CallerServer(Objects.requireNonNull(gateway, "gateway"));
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(threads.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReadLimit.perTurn())
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        server.accept(channel);
                    }
                });
        server.serverChannel = NetworkThreads.awaitBound(bootstrap.bind(address.host(), address.port()), address);
        return server;
    }

    /** Stops accepting connections and closes idle ones; requests in progress go on. */
    public void closeIdle() {
        serverChannel.close();
        forEachConnection(CallerConnection::closeIfIdle);
    }

    /** Ends the requests in progress with a response, because the process exits; responses that have begun go on. */
    public void endRequests() {
        forEachConnection(CallerConnection::endRequest);
    }

    /** Ends the responses that have begun visibly incomplete, because the process exits now. */
    public void breakOffResponses() {
        forEachConnection(CallerConnection::breakOffResponse);
    }

    /**
     * Returns what the connections do.
     *
     * @return how many of them do what
     */
    public CallerActivity activity() {
        return CallerActivity.of(
                connections.stream().map(CallerConnection::phase).toList());
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number
     */
    public int connections() {
        return connections.size();
    }

    /**
     * Returns how much of their responses the callers have not read.
     *
     * @return the bytes that were not given to the network
     */
    public long unreadBytes() {
        return connections.stream().mapToLong(CallerConnection::unreadBytes).sum();
    }

    /** An error at one connection ends that one only. */
    private void forEachConnection(Consumer<CallerConnection> action) {
        for (CallerConnection connection : List.copyOf(connections)) {
            try {
                action.accept(connection);
            } catch (RuntimeException e) {
                connection.closeAfterError(e);
            }
        }
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    private void accept(SocketChannel channel) {
        CallerConnection connection = new CallerConnection(gateway, this, this::limits);
        RequestArrival arrival = new RequestArrival(connection, () -> limits().maximumHeaderBytes());
        channel.pipeline().addLast(arrival).addLast(arrival.newCodec()).addLast(connection);
    }

    private CallerLimits limits() {
        return gateway.catalog().map(Catalog::limits).orElse(CallerLimits.INITIAL);
    }
}
