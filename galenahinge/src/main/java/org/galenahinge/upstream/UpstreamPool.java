package org.galenahinge.upstream;

import com.codahale.metrics.Counter;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.http.HttpConnection;

/**
 * The idle connections to one life of an upstream. Belongs to one thread. The connection used last is used first, so that
 * those in excess age and close.
 */
public final class UpstreamPool {
    /** The most idle connections kept to one upstream. */
    public static final int MAXIMUM_IDLE = 24;

    private static final Duration OPEN_TIMEOUT = Duration.ofMillis(400);

    private final EventLoop loop;
    private final Upstream upstream;
    private final Counter opened;
    private final Deque<HttpConnection> idle = new ArrayDeque<>();
    private boolean closed;

    private UpstreamPool(EventLoop loop, Upstream upstream, Counter opened) {
        this.loop = loop;
        this.upstream = upstream;
        this.opened = opened;
    }

    /**
     * Creates an empty pool.
     *
     * @param loop the thread of its connections
     * @param upstream the upstream
     * @param opened counts new connections
     * @return the pool
     */
    public static UpstreamPool create(EventLoop loop, Upstream upstream, Counter opened) {
        return new UpstreamPool(
                Objects.requireNonNull(loop, "loop"),
                Objects.requireNonNull(upstream, "upstream"),
                Objects.requireNonNull(opened, "opened"));
    }

    /**
     * Takes an idle connection.
     *
     * @param share how much of the upstream's idle time may have passed, from 0 to 1
     * @return a connection that is still open, or empty when a new one must be opened
     */
    public Optional<HttpConnection> take(double share) {
        for (HttpConnection connection = idle.pollFirst(); connection != null; connection = idle.pollFirst()) {
            if (connection.isUsable(share)) {
                return Optional.of(connection);
            }
            connection.close();
        }
        return Optional.empty();
    }

    /**
     * Opens a new connection.
     *
     * @param opening hears how it went
     */
    public void open(HttpConnection.ConnectListener opening) {
        opened.inc();
        HttpConnection.open(loop, upstream.address().toSocketAddress(), OPEN_TIMEOUT, opening);
    }

    /**
     * Gives a connection back after its request has ended well.
     *
     * @param connection the connection
     */
    public void giveBack(HttpConnection connection) {
        if (closed || idle.size() >= MAXIMUM_IDLE || !connection.isUsable(1)) {
            connection.close();
            return;
        }
        connection.onIdleClose(() -> idle.remove(connection));
        idle.addFirst(connection);
    }

    /** Closes the idle connections, and those given back later. */
    public void close() {
        closed = true;
        idle.forEach(HttpConnection::close);
        idle.clear();
    }
}
