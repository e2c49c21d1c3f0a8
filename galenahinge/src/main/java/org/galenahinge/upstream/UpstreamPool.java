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
 * A pool of idle connections to one incarnation of an upstream. The most recently used connection is used first, so that
 * excess connections reach their idle timeout and close. Not thread-safe: all calls come from the thread of its event loop.
 */
public final class UpstreamPool {
    /** Maximum number of idle connections to one upstream. */
    public static final int MAXIMUM_IDLE = 24;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    private final EventLoop loop;
    private final Upstream upstream;
    private final Counter openedConnections;
    private final Deque<HttpConnection> idle = new ArrayDeque<>();
    private final RejectedRequests rejected = new RejectedRequests();
    private boolean closed;

    private UpstreamPool(EventLoop loop, Upstream upstream, Counter openedConnections) {
        this.loop = loop;
        this.upstream = upstream;
        this.openedConnections = openedConnections;
    }

    /**
     * Creates an empty pool.
     *
     * @param loop event loop of its connections
     * @param upstream the upstream
     * @param openedConnections counts new connections
     * @return the pool
     */
    public static UpstreamPool create(EventLoop loop, Upstream upstream, Counter openedConnections) {
        return new UpstreamPool(
                Objects.requireNonNull(loop, "loop"),
                Objects.requireNonNull(upstream, "upstream"),
                Objects.requireNonNull(openedConnections, "openedConnections"));
    }

    /**
     * Removes an idle connection from the pool, and closes those that have been idle for too long.
     *
     * @param maximumIdleShare the share of the upstream's idle timeout that may have passed, from 0 to 1
     * @return a usable connection, or empty if a new one must be opened
     */
    public Optional<HttpConnection> acquire(double maximumIdleShare) {
        for (HttpConnection connection = idle.pollFirst(); connection != null; connection = idle.pollFirst()) {
            if (connection.isUsable(maximumIdleShare)) {
                return Optional.of(connection);
            }
            connection.close();
        }
        return Optional.empty();
    }

    /**
     * Opens a new connection.
     *
     * @param opening notified when the connection is open or has failed
     */
    public void open(HttpConnection.ConnectListener opening) {
        openedConnections.inc();
        HttpConnection.open(loop, upstream.address().toSocketAddress(), CONNECT_TIMEOUT, opening);
    }

    /**
     * Returns a connection to the pool after its request completed without a failure.
     *
     * @param connection the connection
     */
    public void release(HttpConnection connection) {
        if (closed || idle.size() >= MAXIMUM_IDLE || !connection.isUsable(1)) {
            connection.close();
            return;
        }
        connection.onIdleClose(() -> idle.remove(connection));
        idle.addFirst(connection);
    }

    /**
     * Records that the upstream rejected a request without running it, and may send that response again.
     *
     * @param requestId the id of the request
     */
    public void recordRejection(String requestId) {
        rejected.add(requestId);
    }

    /**
     * Returns whether the upstream rejected a request with an id before; only the latest rejections are known.
     *
     * @param requestId the id of the request
     * @return whether a rejection with this id may be a copy of an earlier one
     */
    public boolean hasRejected(String requestId) {
        return rejected.contains(requestId);
    }

    /** Closes the idle connections, and every connection that is released later. */
    public void close() {
        closed = true;
        idle.forEach(HttpConnection::close);
        idle.clear();
    }
}
